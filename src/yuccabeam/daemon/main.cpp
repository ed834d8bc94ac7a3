#include "yuccabeam/adapters/logging.hpp"
#include "yuccabeam/daemon/server.hpp"
#include "yuccabeam/daemon/settings.hpp"

#include <csignal>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "settings file (JSON)");

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_start = 5;

sigset_t stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

std::string read_file(std::string const& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

int main(int argc, char** argv) {
    namespace daemon = yuccabeam::daemon;
    gflags::SetUsageMessage("yuccabeamd --settings FILE");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);

    auto const parsed = daemon::parse_settings(read_file(FLAGS_settings));
    if (auto const* faults =
            std::get_if<std::vector<yuccabeam::json_fault>>(&parsed)) {
        std::cerr << "settings " << FLAGS_settings << ":\n"
                  << yuccabeam::describe(*faults);
        return exit_bad_settings;
    }
    auto const& settings = std::get<daemon::settings>(parsed);

    // Blocked before any thread starts, so that only sigwait() takes them.
    auto const signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    yuccabeam::adapters::start_logging({settings.log_level, settings.log_file});
    daemon::server server(settings);
    if (auto const started = server.start(); !started) {
        std::cerr << started.error().message << "\n";
        return exit_cannot_start;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    server.shut_down();
    return 0;
}
