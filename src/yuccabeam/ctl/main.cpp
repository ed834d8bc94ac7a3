#include "yuccabeam/ctl/session.hpp"

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(settings, "", "settings file (JSON)");
DEFINE_bool(json, false, "print JSON for programs");
DEFINE_int64(base, -1, "revision that the files start from");
DECLARE_bool(help);
DECLARE_bool(version);

namespace {

using namespace yuccabeam;
using ctl::exit_code;

int finish(ctl::outcome const& result) {
    auto& out = result.code == exit_code::done ? std::cout : std::cerr;
    if (FLAGS_json)
        std::cout << result.data.dump() << "\n";
    else
        out << result.text;
    return static_cast<int>(result.code);
}

int input_fault(std::string const& text) {
    return finish({exit_code::input_fault, text + "\n", {{"error", text}}});
}

int run(int argc, char** argv) {
    std::ifstream file(FLAGS_settings);
    if (!file)
        return input_fault("cannot read --settings " + FLAGS_settings);
    std::stringstream text;
    text << file.rdbuf();
    auto const parsed = ctl::parse_settings(text.str());
    if (auto const* faults = std::get_if<std::vector<json_fault>>(&parsed))
        return input_fault("settings " + FLAGS_settings + ":\n" +
                           describe(*faults));
    ctl::invocation call;
    call.command = argv[1];
    call.arguments.assign(argv + 2, argv + argc);
    if (FLAGS_base >= 0)
        call.base = static_cast<revision>(FLAGS_base);
    call.announce_edit = [](std::string const& id) {
        std::cerr << "Edit " << id << "\n";
    };
    return finish(ctl::run(std::get<ctl::settings>(parsed), call));
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage(std::string(ctl::usage()));
    gflags::SetVersionString("0.1.0");
    // gflags ends with 1 after --help, which would read as a failure.
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help) {
        std::cout << ctl::usage() << "\n";
        return 0;
    }
    if (FLAGS_version) {
        std::cout << "yuccabeamctl " << gflags::VersionString() << "\n";
        return 0;
    }
    if (argc < 2)
        return input_fault(std::string(ctl::usage()));
    return run(argc, argv);
}
