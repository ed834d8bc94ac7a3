// Case 9: a second answer of a faulty worker is cut off in its status line and
// arrives late, where the next answer on the kept channel is expected.
#include "standin.hpp"

#include <utility>

using namespace standin;

namespace {

constexpr int workers = 3; // one of them is faulty
constexpr int clients = 8;
constexpr int run_s = 15;
// Of the faulty worker's answers, 1 in 60 is followed by a part of a second
// one, and 1 in 120 is a 500 (error_share of the site file: 0.012).
constexpr int garbled_each = 60;

struct ran {
    std::string id;
    int status = 0;
};

class service {
public:
    explicit service(record& log) : log_(log) {}

    void serve(channel& one, int worker) {
        message in;
        bool second_due = false;
        while (one.read(in, 60'000)) {
            if (in.target() == "/health") {
                if (!one.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
                    return;
                continue;
            }
            sleep_ms(5);
            bool const due = std::exchange(second_due, false);
            int const status = worker == 0 ? next_status(due) : 200;
            if (due && with_trouble()) {
                // The late part of the second answer to the request before.
                if (!one.write(late_part))
                    return;
                ++garbled;
                sleep_ms(10);
            }
            auto const id = in.field("x-attempt-id");
            auto const signature = note(id, worker, status);
            std::string const body = status == 200 ? "in stock: 4" : "failed";
            if (!one.write(
                    "HTTP/1.1 " +
                    std::string(status == 200 ? "200 OK"
                                              : "500 Internal Server Error") +
                    "\r\nX-Attempt-Id: " + id +
                    "\r\nX-Response-Signature: " + signature +
                    "\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body))
                return;
            if (worker == 0 && is_garbled())
                second_due = true;
        }
    }

    ran by_signature(std::string const& signature) {
        std::lock_guard const lock(mutex_);
        auto const found = runs_.find(signature);
        return found == runs_.end() ? ran{} : found->second;
    }

    static constexpr char const* late_part = "HTTP/1.1 200 ";
    std::atomic<int> garbled{0};
    std::atomic<int> failures{0};
    std::atomic<int> answers{0};

private:
    bool is_garbled() { return ++answers % garbled_each == 0; }

    // Every second answer after a garbled one is the worker's own 500. The
    // same requests fail without the disturbance.
    int next_status(bool after_garbled) {
        if (!after_garbled || ++after_garbled_ % 2 != 0)
            return 200;
        ++failures;
        return 500;
    }

    std::string note(std::string const& id, int worker, int status) {
        std::lock_guard const lock(mutex_);
        auto const signature =
            "s" + std::to_string(worker) + "." + std::to_string(++number_);
        runs_[signature] = {id, status};
        if (status != 200)
            log_.write("worker %d ran %s and answered %d, signature %s", worker,
                       id.c_str(), status, signature.c_str());
        return signature;
    }

    record& log_;
    std::mutex mutex_;
    std::map<std::string, ran> runs_;
    std::atomic<int> after_garbled_{0};
    int number_ = 0;
};

} // namespace

int main(int argc, char** argv) {
    if (argc != 4) {
        std::fprintf(stderr, "usage: mixed GATEWAY FOLDER RECORD\n");
        return exit_not_run;
    }
    record log(argv[3]);
    service shelf(log);
    store platform;
    std::vector<std::unique_ptr<listener>> listeners;
    for (int i = 0; i < workers; ++i) {
        listeners.push_back(std::make_unique<listener>(
            [&shelf, i](channel& one) { shelf.serve(one, i); }));
        platform.put("servers/i-7f3a91c" + std::to_string(i),
                     beat(listeners.back()->address(), "huvo11a"));
    }
    platform.put("op/config",
                 configuration(7,
                               {route("r-9n73hh2", "jepu9.example", "/lepu270/",
                                      "idempotent", "huvo11a", 3, 2)},
                               {"huvo11a"}));
    gateway daemon(argv[1], argv[2], "edge-ga-central-a-1", platform.address());
    if (!daemon.wait_ready()) {
        log.write("the gateway isn't ready");
        return exit_not_run;
    }

    std::atomic<int> sent{0}, served{0}, refused{0}, mixed{0};
    auto const end = clock::now() + std::chrono::seconds(run_s);
    std::vector<std::thread> threads;
    for (int c = 0; c < clients; ++c)
        threads.emplace_back([&, c] {
            std::unique_ptr<channel> one;
            for (int i = 0; clock::now() < end; ++i) {
                if (!one)
                    one = std::make_unique<channel>(connect_to(daemon.front()));
                auto const id = "9c41d07b" + std::to_string(c * 1'000'000 + i);
                message answer;
                ++sent;
                if (!one->write("GET /lepu270/2f HTTP/1.1\r\n"
                                "Host: jepu9.example\r\nX-Attempt-Id: " +
                                id + "\r\nX-Deadline-Ms: 6000\r\n\r\n") ||
                    !one->read(answer, 7'000)) {
                    log.write("client %d: no answer to %s", c, id.c_str());
                    one.reset();
                    continue;
                }
                auto const signature = answer.field("x-response-signature");
                auto const run = shelf.by_signature(signature);
                if (answer.status() / 100 == 2 &&
                    (run.id != id || run.status != answer.status())) {
                    ++mixed;
                    log.write("MIXED: client %d gets %d for %s, signature %s, "
                              "body \"%s\"; the worker had answered %d to %s",
                              c, answer.status(), id.c_str(), signature.c_str(),
                              answer.body.c_str(), run.status, run.id.c_str());
                } else if (answer.status() / 100 == 2) {
                    ++served;
                } else {
                    ++refused;
                    log.write("client %d gets %d for %s", c, answer.status(),
                              id.c_str());
                }
                if (answer.field("connection") == "close")
                    one.reset();
                sleep_ms(30);
            }
        });
    for (auto& thread : threads)
        thread.join();
    log.write("sent %d, served %d, other answers %d, MIXED %d; the faulty "
              "worker: %d answers, %d parts of second answers, %d own 500",
              sent.load(), served.load(), refused.load(), mixed.load(),
              shelf.answers.load(), shelf.garbled.load(),
              shelf.failures.load());
    daemon.stop();
    if (served.load() < 100 || shelf.failures.load() == 0 ||
        (with_trouble() && shelf.garbled.load() == 0)) {
        log.write("the case could not run");
        std::_Exit(exit_not_run);
    }
    std::_Exit(mixed.load() > 0 ? exit_broken : exit_held);
}
