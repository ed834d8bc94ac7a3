#include "yuccabeam/gateway/program.hpp"

#include <asio/post.hpp>
#include <doctest/doctest.h>
#include <stdexcept>
#include <string>
#include <vector>

using namespace yuccabeam::gateway;

// Guards against one unexpected error that ends a daemon and all its requests.
TEST_CASE("an exception in a handler is reported and ends that handler only") {
    asio::io_context context;
    std::vector<std::string> reported;
    int served = 0;
    asio::post(context, [&] { ++served; });
    asio::post(context, [] { throw std::runtime_error("first"); });
    asio::post(context, [&] { ++served; });
    asio::post(context, [] { throw std::out_of_range("second"); });
    asio::post(context, [&] { ++served; });
    run_until_stopped(context, [&](std::exception const& error) {
        reported.emplace_back(error.what());
    });
    CHECK(served == 3);
    CHECK(reported == std::vector<std::string>{"first", "second"});
}

// Guards against a script that sends a configuration although its check failed.
TEST_CASE("the check of a configuration ends with code 2 for errors only") {
    struct row {
        char const* path;
        char const* in_force;
        bool readable; ///< by the configuration's format
        int code;
    };
    row const rows[] = {
        {"/dev/null", "", true, 0},
        {"/dev/null", "", false, 2},
        {"/nonexistent/file", "", true, 2},
        {"/dev/null", "/nonexistent/file", true, 2},
        {"/dev", "", true, 2},
        {"/dev/null", "/dev/null", true, 2}, // the version is not above itself
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.path));
        CAPTURE(std::string(row.in_force));
        formats formats;
        formats.content.policy = [&](std::string const&) {
            return row.readable
                       ? yuccabeam::result<yuccabeam::traffic_policy>(
                             yuccabeam::traffic_policy{})
                       : yuccabeam::make_fault(
                             yuccabeam::fault_code::invalid_input, "reason");
        };
        program_options options;
        options.policy_path = row.path;
        options.in_force_path = row.in_force;
        CHECK(run_program(options, formats) == row.code);
    }
}
