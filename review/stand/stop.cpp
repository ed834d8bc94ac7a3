// A machine is stopped while clients download. See review/2/claim.txt.
#include "platform.hpp"

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
    for (std::size_t i = 0; i < 4; ++i) {
        workers.push_back(
            std::make_unique<worker>(platform, log, "i-" + std::to_string(i),
                                     "specbin", zones[i % 3], 6, 24, 0.3));
        workers.back()->enter();
    }
    std::vector<std::unique_ptr<gateway>> fleet;
    auto const peer_ports = free_ports_in_order(2);
    for (std::size_t i = 0; i < 2; ++i)
        fleet.push_back(std::make_unique<gateway>(
            log, dir, "edge-" + std::to_string(i + 1), zones[i], zones,
            platform.add_entrance(), peer_ports[i]));
    for (auto& one : fleet) {
        one->set_seeds({fleet[0]->control(), fleet[1]->control()});
        one->start();
    }
    for (auto& one : fleet)
        if (!one->wait_ready(10))
            return 2;
    sleep_s(4);

    // Three clients with a kept channel each, on which a request was answered.
    std::vector<int> channels;
    std::vector<download> downloads(3);
    for (std::size_t i = 0; i < downloads.size(); ++i) {
        downloads[i].id = "d" + std::to_string(i);
        channels.push_back(connect_to(fleet[0]->front(), 1));
        message answer;
        if (!send_all(channels[i], "GET /file/0 HTTP/1.1\r\nHost: shop.example"
                                   "\r\nX-Attempt-Id: w" +
                                       std::to_string(i) +
                                       "\r\nX-Deadline-Ms: 5000\r\n\r\n") ||
            reader(channels[i]).read(answer, now_s() + 5) !=
                read_result::complete ||
            answer.status() != 200)
            return 2;
    }
    for (auto& one : workers)
        one->set_answer_bytes(answer_bytes);
    sleep_s(1);
    double const stop_at = now_s();
    if (trouble) {
        log.line("disruption: SIGTERM to edge-1");
        fleet[0]->signal(SIGTERM);
    }
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < downloads.size(); ++i)
        clients.emplace_back([&, i] {
            sleep_until_s(stop_at + 2.0 + 0.3 * static_cast<double>(i));
            run(channels[i], downloads[i]);
        });
    // The platform kills the process after grace_s.
    sleep_until_s(stop_at + 6);
    if (trouble)
        fleet[0]->kill_now();
    for (auto& one : clients)
        one.join();
    int lost = 0;
    int whole = 0;
    for (auto const& d : downloads) {
        char line[240];
        std::snprintf(
            line, sizeof line,
            "client: %s sent %.2f s after the stop, status %d, %zu of "
            "%zu bytes, the channel's end %.2f s after sending",
            d.id.c_str(), d.sent_at - stop_at, d.status, d.bytes, answer_bytes,
            d.ended_at - d.sent_at);
        log.line(line);
        std::cout << line << std::endl;
        bool const complete =
            d.status == 503 || (d.status == 200 && d.bytes == answer_bytes);
        whole += complete;
        if (complete || d.ended_at - d.sent_at >= time_limit)
            continue;
        ++lost;
        log.line("BROKEN LOST: " + d.id +
                 " was passed on, its worker had "
                 "answered, and the channel ends without a complete answer");
    }
    for (auto& one : fleet)
        one->kill_now();
    std::_Exit(lost > 0 ? 1 : whole == 3 ? 0 : 2);
}
