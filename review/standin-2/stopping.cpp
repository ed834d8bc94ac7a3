// Case 10: a gateway is stopped while the queues of new channels of all workers
// are full. Orders that it has read and that no worker has got end without an
// answer when the grace period ends.
#include "standin.hpp"

#include <memory>

using namespace standin;

namespace {

constexpr int workers = 15;
constexpr int grace_ms = 6'000;

/// A worker that accepts no channel while it is busy. Its queue of new channels
/// holds one, and the kernel drops the opening packets of further ones.
class worker {
public:
    explicit worker(record& log, int number) : log_(log), number_(number) {
        fd_ = listen_on_free_port(port_);
        listen(fd_, 0);
        std::thread([this] { accept_all(); }).detach();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

    void set_busy(bool busy) {
        busy_ = busy;
        if (!busy) {
            others_.clear();
            return;
        }
        sleep_ms(30);
        // Channels of other callers, which wait to be accepted.
        for (int i = 0; i < 3; ++i) {
            int const fd =
                socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            auto const at = loopback(port_);
            connect(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at);
            others_.push_back(std::make_unique<channel>(fd));
        }
    }

    static inline std::mutex mutex;
    static inline std::map<std::string, int> runs;

private:
    void accept_all() {
        for (;;) {
            if (busy_) {
                sleep_ms(5);
                continue;
            }
            pollfd wait{fd_, POLLIN, 0};
            if (poll(&wait, 1, 5) <= 0 || busy_)
                continue;
            int const fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            set_no_delay(fd);
            std::thread([this, fd] {
                channel one(fd);
                serve(one);
            }).detach();
        }
    }

    void serve(channel& one) {
        message in;
        while (one.read(in, 60'000)) {
            auto const id = in.field("x-attempt-id");
            {
                std::lock_guard const lock(mutex);
                ++runs[id];
            }
            log_.write("worker %d runs %s", number_, id.c_str());
            sleep_ms(50);
            if (!one.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                           "\r\nX-Response-Signature: s." + id +
                           "\r\nContent-Length: 2\r\n\r\nok"))
                return;
        }
    }

    record& log_;
    int number_;
    int fd_ = -1;
    int port_ = 0;
    std::atomic<bool> busy_{false};
    std::vector<std::unique_ptr<channel>> others_;
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 4) {
        std::fprintf(stderr, "usage: stopping GATEWAY FOLDER RECORD\n");
        return exit_not_run;
    }
    record log(argv[3]);
    store platform;
    std::vector<std::unique_ptr<worker>> all;
    for (int i = 0; i < workers; ++i) {
        all.push_back(std::make_unique<worker>(log, i));
        platform.put("servers/i-7f3a91" + std::to_string(10 + i),
                     beat(all.back()->address(), "wuno96b"));
    }
    platform.put(
        "op/config",
        configuration(7,
                      {route("r-b9wu3fe", "hulo84.example", "/xapu221/ny95/",
                             "non_idempotent", "wuno96b", 6, 2)},
                      {"wuno96b"}));
    gateway daemon(argv[1], argv[2], "edge-tartu-a-1", platform.address());
    if (!daemon.wait_ready()) {
        log.write("the gateway isn't ready");
        return exit_not_run;
    }

    std::atomic<int> answered{0}, lost{0}, other{0};
    auto const start = clock::now();
    auto const since = [&start] {
        return static_cast<int>(
            std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() -
                                                                  start)
                .count());
    };
    std::atomic<int> stopped_at{0};
    auto const order = [&](std::string const& id) {
        channel one(connect_to(daemon.front()));
        std::string const body(300, 'o');
        one.write("POST /xapu221/ny95/2f HTTP/1.1\r\nHost: hulo84.example\r\n"
                  "X-Attempt-Id: " +
                  id +
                  "\r\nX-Deadline-Ms: 15000\r\nContent-Length: 300\r\n\r\n" +
                  body);
        int const sent = since();
        message answer;
        bool const read = one.read(answer, 15'000);
        int const end = since();
        int ran = 0;
        {
            std::lock_guard const lock(worker::mutex);
            ran = worker::runs[id];
        }
        log.write("order %s: sent at %d ms, %s at %d ms, runs %d", id.c_str(),
                  sent,
                  read ? ("answered " + std::to_string(answer.status())).c_str()
                       : "the channel ends with no answer",
                  end, ran);
        if (read) {
            ++answered;
            return;
        }
        // The rule: later than loss_slack_s (0.2) after the last byte, until
        // 1 s after grace_s, and the route's timeout (6 s) not reached.
        int const stop = stopped_at.load();
        bool const counts = stop > 0 && end - sent > 200 &&
                            end <= stop + grace_ms + 1'000 &&
                            end - sent < 6'000;
        counts ? ++lost : ++other;
    };

    for (int i = 0; i < 5; ++i)
        order("warm" + std::to_string(i));
    for (auto const& one : all)
        one->set_busy(true);
    log.write("the queues of new channels are full from %d ms on", since());
    if (with_trouble()) {
        stopped_at = since();
        log.write("SIGTERM at %d ms", stopped_at.load());
        kill(daemon.pid(), SIGTERM);
    }
    int const begin = since();
    std::vector<std::thread> threads;
    for (int const at : {500, 1'000, 1'700, 2'000, 2'300})
        threads.emplace_back([&, at] {
            sleep_ms(begin + at - since());
            order("9c41d07be2a3" + std::to_string(at));
        });
    sleep_ms(begin + 7'000 - since());
    for (auto const& one : all)
        one->set_busy(false);
    for (auto& thread : threads)
        thread.join();
    daemon.stop();
    log.write("answered %d, LOST %d, other ends %d", answered.load(),
              lost.load(), other.load());
    if (answered.load() < 5 || other.load() > 0)
        std::_Exit(exit_not_run);
    std::_Exit(lost.load() > 0 ? exit_broken : exit_held);
}
