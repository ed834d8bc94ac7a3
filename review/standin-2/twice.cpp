// Case 8: a faulty worker sends a broken-off piece of an answer before the
// answer to an order that it runs. The piece is no response and belongs to no
// request.
#include "standin.hpp"

using namespace standin;

namespace {

constexpr int workers = 3; // one of them is faulty
constexpr int clients = 8;
constexpr int run_s = 15;
constexpr int garbled_each = 60; // of the faulty worker's answers

class service {
public:
    explicit service(record& log) : log_(log) {}

    void serve(channel& one, int worker) {
        message in;
        while (one.read(in, 60'000)) {
            if (in.target() == "/health") {
                if (!one.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            auto const id = in.field("x-attempt-id");
            bool const garbled =
                worker == 0 && ++answers % garbled_each == 0 && with_trouble();
            note(id, worker);
            sleep_ms(5);
            if (garbled) {
                ++pieces;
                log_.write("worker %d sends a piece before its answer to %s",
                           worker, id.c_str());
                if (!one.write(piece))
                    return;
                sleep_ms(10);
            }
            std::string const body = "booked";
            if (!one.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
                           "\r\nX-Response-Signature: s" +
                           std::to_string(worker) + "." + id +
                           "\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::map<std::string, std::vector<int>> runs() {
        std::lock_guard const lock(mutex_);
        return runs_;
    }

    // The beginning of the answer that a full worker gives.
    static constexpr char const* piece =
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1";
    std::atomic<int> answers{0};
    std::atomic<int> pieces{0};

private:
    void note(std::string const& id, int worker) {
        std::lock_guard const lock(mutex_);
        auto& of = runs_[id];
        of.push_back(worker);
        if (of.size() > 1)
            log_.write("TWICE: worker %d runs order %s, which worker %d has "
                       "run already",
                       worker, id.c_str(), of.front());
    }

    record& log_;
    std::mutex mutex_;
    std::map<std::string, std::vector<int>> runs_;
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 4) {
        std::fprintf(stderr, "usage: twice GATEWAY FOLDER RECORD\n");
        return exit_not_run;
    }
    record log(argv[3]);
    service book(log);
    store platform;
    std::vector<std::unique_ptr<listener>> listeners;
    for (int i = 0; i < workers; ++i) {
        listeners.push_back(std::make_unique<listener>(
            [&book, i](channel& one) { book.serve(one, i); }));
        platform.put("servers/i-7f3a91c" + std::to_string(i),
                     beat(listeners.back()->address(), "wuno96b"));
    }
    platform.put(
        "op/config",
        configuration(7,
                      {route("r-b9wu3fe", "hulo84.example", "/xapu221/ny95/",
                             "non_idempotent", "wuno96b", 4, 2)},
                      {"wuno96b"}));
    gateway daemon(argv[1], argv[2], "edge-ga-central-a-1", platform.address());
    if (!daemon.wait_ready()) {
        log.write("the gateway isn't ready");
        return exit_not_run;
    }

    std::mutex mutex;
    std::map<std::string, int> statuses;
    auto const end = clock::now() + std::chrono::seconds(run_s);
    std::vector<std::thread> threads;
    for (int c = 0; c < clients; ++c)
        threads.emplace_back([&, c] {
            for (int i = 0; clock::now() < end; ++i) {
                channel one(connect_to(daemon.front()));
                auto const id = "9c41d07b" + std::to_string(c * 1'000'000 + i);
                std::string const body(1'200, 'o');
                message answer;
                int status = 0;
                if (one.write(
                        "POST /xapu221/ny95/2f HTTP/1.1\r\n"
                        "Host: hulo84.example\r\nX-Attempt-Id: " +
                        id + "\r\nX-Deadline-Ms: 8000\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body) &&
                    one.read(answer, 9'000))
                    status = answer.status();
                if (status != 200)
                    log.write("client %d gets %d for order %s", c, status,
                              id.c_str());
                {
                    std::lock_guard const lock(mutex);
                    statuses[id] = status;
                }
                sleep_ms(30);
            }
        });
    for (auto& thread : threads)
        thread.join();
    sleep_ms(500);
    daemon.stop();

    int twice = 0, refused = 0, served = 0;
    auto const runs = book.runs();
    for (auto const& [id, by] : runs) {
        twice += by.size() > 1;
        int const status = statuses[id];
        served += status == 200;
        if (status == 503 || status == 429 || status == 408 || status == 421) {
            ++refused;
            log.write("REFUSED: order %s is answered %d and has run",
                      id.c_str(), status);
        }
    }
    log.write("sent %zu, run %zu, served %d, TWICE %d, REFUSED %d; the faulty "
              "worker: %d answers, %d pieces",
              statuses.size(), runs.size(), served, twice, refused,
              book.answers.load(), book.pieces.load());
    if (served < 100 || (with_trouble() && book.pieces.load() == 0)) {
        log.write("the case could not run");
        std::_Exit(exit_not_run);
    }
    std::_Exit(twice + refused > 0 ? exit_broken : exit_held);
}
