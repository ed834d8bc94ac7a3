// Many users download at once. See review/3/claim.txt.
#include "platform.hpp"

#include <cmath>
#include <cstdlib>
#include <iostream>

using namespace stand;

namespace {

constexpr std::size_t answer_bytes = 30'000'000;
constexpr double read_bytes_per_s = 7'000'000;
constexpr double time_limit = 5;

struct download {
    std::string id;
    double sent_at = 0;
    double ended_at = 0;
    std::size_t bytes = 0;
    int status = 0;
};

// Sends a request on the kept channel and reads the answer at an even pace.
void run(int fd, download& out) {
    out.sent_at = now_s();
    send_all(fd,
             "GET /file/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " +
                 out.id + "\r\nX-Deadline-Ms: 5000\r\n\r\n");
    std::string text;
    std::size_t head = 0;
    std::size_t length = 0;
    double first = 0;
    while (now_s() < out.sent_at + time_limit &&
           (head == 0 || text.size() < head + length)) {
        pollfd wait{fd, POLLIN, 0};
        if (poll(&wait, 1, 100) <= 0)
            continue;
        static thread_local char bytes[65536];
        auto const n = recv(fd, bytes, sizeof bytes, 0);
        if (n <= 0)
            break;
        text.append(bytes, static_cast<std::size_t>(n));
        if (first == 0)
            first = now_s();
        if (auto const end = text.find("\r\n\r\n");
            head == 0 && end != std::string::npos) {
            head = end + 4;
            out.status = std::atoi(text.c_str() + 9);
            length = static_cast<std::size_t>(
                std::atoll(text.c_str() + text.find("Content-Length: ") + 16));
        }
        sleep_until_s(first +
                      static_cast<double>(text.size()) / read_bytes_per_s);
    }
    out.ended_at = now_s();
    out.bytes = text.size() - head;
}

} // namespace

int main(int argc, char** argv) {
    if (argc != 3)
        return 2;
    std::string const dir = argv[1];
    record log(argv[2]);
    char const* const text = std::getenv("TROUBLE");
    bool const trouble = !text || std::string(text) != "0";
    now_s();
    store platform;
    platform.put("op/config", json{{"version", "r7"},
                                   {"resources",
                                    {route("r-file", "shop.example", "/file/",
                                           "download", "specbin", 5, 1.2, 2),
                                     service("specbin"), limits()}}}
                                  .dump());
    std::vector<std::string> const zones = {"a", "b", "c"};
    std::vector<std::unique_ptr<worker>> workers;
    for (std::size_t i = 0; i < 6; ++i) {
        workers.push_back(
            std::make_unique<worker>(platform, log, "i-" + std::to_string(i),
                                     "specbin", zones[i % 3], 6, 24, 0.3));
        workers.back()->enter();
    }
    gateway edge(log, dir, "edge-1", "a", zones, platform.add_entrance(),
                 free_port());
    edge.set_seeds({edge.control()});
    edge.start();
    if (!edge.wait_ready(10))
        return 2;
    sleep_s(4);

    for (auto& one : workers)
        one->set_answer_bytes(answer_bytes);

    // The usual traffic: a download each 1.6 s, so that three run at a time.
    // Each 12 s there are 1.7 times as many users for 3 s.
    constexpr double usual_gap = 1.6;
    double const begin = now_s() + 0.5;
    std::mutex mutex;
    std::vector<int> kept;
    int opened = 0;
    // A channel on which a request was answered, used within the last seconds.
    auto const kept_channel = [&] {
        {
            std::lock_guard lock(mutex);
            while (!kept.empty()) {
                int const fd = kept.back();
                kept.pop_back();
                if (!peer_closed(fd))
                    return fd;
                close(fd);
            }
        }
        int const fd = connect_to(edge.front(), 1);
        message answer;
        bool const good =
            fd >= 0 &&
            send_all(fd, "GET /file/0 HTTP/1.1\r\nHost: shop.example\r\n"
                         "X-Attempt-Id: w" +
                             std::to_string(++opened) +
                             "\r\nX-Deadline-Ms: 5000\r\n\r\n") &&
            reader(fd).read(answer, now_s() + 5) == read_result::complete &&
            answer.status() == 200;
        return good ? fd : -1;
    };
    std::vector<std::thread> clients;
    std::atomic<int> cut = 0;
    std::atomic<int> refused = 0;
    std::atomic<int> whole = 0;
    int sent = 0;
    bool pressed = false;
    for (double at = begin; at < begin + 86;) {
        sleep_until_s(at);
        double const phase = std::fmod(at - begin, 12);
        bool const burst = trouble && phase >= 6 && phase < 9;
        if (burst != pressed) {
            pressed = burst;
            log.line(burst ? "disruption: many users come at once"
                           : "disruption ends");
        }
        int const fd = kept_channel();
        if (fd >= 0)
            clients.emplace_back([&, fd, n = sent++] {
                download d;
                d.id = "d" + std::to_string(n);
                run(fd, d);
                char line[240];
                std::snprintf(line, sizeof line,
                              "client: %s status %d, %zu of %zu bytes, ended "
                              "%.2f s after sending",
                              d.id.c_str(), d.status, d.bytes, answer_bytes,
                              d.ended_at - d.sent_at);
                log.line(line);
                if (d.status == 200 && d.bytes == answer_bytes) {
                    ++whole;
                    std::lock_guard lock(mutex);
                    kept.push_back(fd);
                } else if (d.status >= 400) {
                    ++refused;
                } else if (d.status == 200 &&
                           d.ended_at - d.sent_at < time_limit) {
                    ++cut;
                    log.line("BROKEN LOST: the kept channel of " + d.id +
                             " is closed without a complete answer");
                }
            });
        at += burst ? usual_gap / 1.7 : usual_gap;
    }
    for (auto& one : clients)
        one.join();
    char line[160];
    std::snprintf(line, sizeof line,
                  "%d downloads: %d whole, %d refused, %d cut off", sent,
                  whole.load(), refused.load(), cut.load());
    log.line(line);
    std::cout << line << std::endl;
    edge.kill_now();
    std::_Exit(cut > 3 ? 1 : whole > 0 ? 0 : 2);
}
