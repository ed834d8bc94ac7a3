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
