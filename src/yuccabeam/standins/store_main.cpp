#include "yuccabeam/standins/store_server.hpp"

#include <csignal>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(address, "127.0.0.1:2380", "IP:port to listen on");

int main(int argc, char** argv) {
    gflags::SetUsageMessage("stand-in for the key-value service and VM list");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);

    yuccabeam::standins::store_server server({FLAGS_address});
    if (auto const started = server.start(); !started) {
        std::cerr << started.error().message << "\n";
        return 5;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    return 0;
}
