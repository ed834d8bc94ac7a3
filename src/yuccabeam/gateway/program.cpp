#include "yuccabeam/gateway/program.hpp"

#include "yuccabeam/gateway/gateway_daemon.hpp"
#include "yuccabeam/gateway/policy_check.hpp"
#include "yuccabeam/gateway/settings.hpp"

#include <asio.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <sstream>

namespace yuccabeam::gateway {

namespace {

constexpr int exit_bad_settings = 2;
constexpr int exit_bad_policy = 2;
constexpr int exit_cannot_start = 5;

std::string read_file(std::string const& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

std::variant<settings, std::vector<json_fault>> load(std::string const& path) {
    return parse_settings(read_file(path));
}

std::optional<std::string> read_policy_file(std::string const& path) {
    std::ifstream file(path);
    file.peek(); // fails for a directory
    if (!file.is_open() || file.bad()) {
        std::cerr << "cannot read " << path << "\n";
        return std::nullopt;
    }
    return read_file(path);
}

int check_policy_files(program_options const& options,
                       content_format const& format) {
    auto const text = read_policy_file(options.policy_path);
    std::optional<std::string> in_force;
    if (!options.in_force_path.empty())
        in_force = read_policy_file(options.in_force_path);
    if (!text || (!in_force && !options.in_force_path.empty()))
        return exit_bad_policy;
    auto const findings =
        check_policy_texts(format, *text, in_force ? &*in_force : nullptr);
    std::cout << (findings.empty() ? "No findings.\n" : describe(findings));
    return has_errors(findings) ? exit_bad_policy : 0;
}

void wait_for_signal(asio::signal_set& signals, gateway_daemon& daemon,
                     std::string const& path) {
    signals.async_wait([&, path](std::error_code error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            auto const read = load(path);
            if (auto const* good = std::get_if<settings>(&read))
                daemon.reload(*good);
            else
                std::cerr << "settings not reloaded:\n"
                          << describe(std::get<std::vector<json_fault>>(read));
        } else {
            daemon.shut_down();
        }
        wait_for_signal(signals, daemon, path);
    });
}

// Memory that is freed goes back to the system at once for blocks of this size.
// Otherwise glibc raises the limit to the largest block it has seen, and bodies
// leave gaps on the heap that can take as much as the budget of all bodies.
void return_large_blocks() {
#ifdef M_MMAP_THRESHOLD
    constexpr int large_block_bytes = 128 << 10;
    mallopt(M_MMAP_THRESHOLD, large_block_bytes);
#endif
}

} // namespace

void run_until_stopped(
    asio::io_context& context,
    std::function<void(std::exception const&)> const& on_error) {
    for (;;) {
        try {
            context.run();
            return;
        } catch (std::exception const& error) {
            on_error(error);
        }
    }
}

std::optional<program_options>
parse_arguments(int argc, char const* const* argv, std::string default_path) {
    program_options out{std::move(default_path)};
    for (int i = 1; i < argc; ++i) {
        std::string_view const argument = argv[i];
        if (argument == "--check")
            out.check_only = true;
        else if (argument == "--settings" && i + 1 < argc)
            out.settings_path = argv[++i];
        else if (argument == "--check-policy" && i + 1 < argc)
            out.policy_path = argv[++i];
        else if (argument == "--in-force" && i + 1 < argc)
            out.in_force_path = argv[++i];
        else
            return std::nullopt;
    }
    if (out.policy_path.empty() && !out.in_force_path.empty())
        return std::nullopt;
    return out;
}

int run_program(program_options const& options, formats formats) {
    if (!options.policy_path.empty())
        return check_policy_files(options, formats.content);
    auto const& path = options.settings_path;
    auto const read = load(path);
    if (auto const* faults = std::get_if<std::vector<json_fault>>(&read)) {
        std::cerr << "settings " << path << ":\n" << describe(*faults);
        return exit_bad_settings;
    }
    if (options.check_only) {
        std::cout << "No faults.\n";
        return 0;
    }
    return_large_blocks();
    std::signal(SIGPIPE, SIG_IGN);
    // One thread: the VM has a fifth of one core, and a second thread would
    // only add context switches.
    asio::io_context context(1);
    gateway_daemon daemon(context, std::get<settings>(read),
                          std::move(formats));
    if (auto const started = daemon.start(); !started) {
        std::cerr << started.error().message << "\n";
        return exit_cannot_start;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    wait_for_signal(signals, daemon, path);
    run_until_stopped(context, [&daemon](std::exception const& error) {
        daemon.report_error(error.what());
    });
    return 0;
}

} // namespace yuccabeam::gateway
