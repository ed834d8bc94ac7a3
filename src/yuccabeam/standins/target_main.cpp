#include "yuccabeam/standins/target_server.hpp"

#include <asio.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <thread>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_int32(port, 9000, "first port");
DEFINE_int32(count, 1, "number of consecutive ports, one target each");
DEFINE_int32(slots, 6, "requests that a target works on at once");
DEFINE_int32(connections, 330, "connections that a target accepts");
DEFINE_double(service_ms, 5, "mean service time of a request");
DEFINE_int32(threads, 1, "threads; each serves a part of the targets");

namespace {

using namespace yuccabeam::standins;

bool valid_flags() {
    return FLAGS_port > 0 && FLAGS_count > 0 &&
           FLAGS_port + FLAGS_count <= 65'536 && FLAGS_slots > 0 &&
           FLAGS_connections > 0 && FLAGS_service_ms >= 0 &&
           FLAGS_threads > 0 && FLAGS_threads <= 64;
}

target_options options_from_flags() {
    target_options out;
    out.slots = static_cast<unsigned>(FLAGS_slots);
    out.connections = static_cast<unsigned>(FLAGS_connections);
    out.service_time = std::chrono::duration_cast<std::chrono::microseconds>(
        std::chrono::duration<double, std::milli>(FLAGS_service_ms));
    return out;
}

void serve() {
    std::vector<std::unique_ptr<asio::io_context>> contexts;
    contexts.reserve(static_cast<std::size_t>(FLAGS_threads));
    for (int i = 0; i < FLAGS_threads; ++i)
        contexts.push_back(std::make_unique<asio::io_context>(1));
    target_directory directory;
    std::vector<std::shared_ptr<target_server>> targets;
    targets.reserve(static_cast<std::size_t>(FLAGS_count));
    for (int i = 0; i < FLAGS_count; ++i) {
        auto& context =
            *contexts[static_cast<std::size_t>(i) % contexts.size()];
        targets.push_back(std::make_shared<target_server>(
            context, directory, FLAGS_address,
            static_cast<std::uint16_t>(FLAGS_port + i), options_from_flags()));
        directory.add(targets.back());
    }
    for (auto const& target : targets)
        target->start();

    asio::signal_set signals(*contexts.front(), SIGINT, SIGTERM);
    signals.async_wait([&](std::error_code const& error, int) {
        for (auto const& context : contexts)
            if (!error)
                context->stop();
    });
    std::cout << "event=listening address=" << FLAGS_address
              << " port=" << FLAGS_port << " count=" << FLAGS_count
              << std::endl;
    std::vector<std::jthread> threads;
    threads.reserve(contexts.size());
    for (auto const& context : contexts)
        threads.emplace_back([&context] {
            auto const guard = asio::make_work_guard(*context);
            context->run();
        });
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Stand-in targets with injected failures.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (!valid_flags()) {
        std::cerr << "a flag is out of range\n";
        return 2;
    }
    try {
        serve();
    } catch (std::exception const& error) {
        std::cerr << "event=failed reason=\"" << error.what() << "\"\n";
        return 1;
    }
    return 0;
}
