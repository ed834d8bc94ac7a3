#include "yuccabeam/bench/load_report.hpp"

#include <asio.hpp>
#include <doctest/doctest.h>

namespace yuccabeam::bench {
namespace {

using asio::ip::tcp;

/// Runs one request against a server that sends `canned` after the request's
/// header section and then closes, all on one thread.
load_result exchange(std::string const& canned, std::string const& method,
                     std::string const& path) {
    asio::io_context context;
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket socket(context);
    std::string input;
    acceptor.async_accept(socket, [&](std::error_code) {
        asio::async_read_until(
            socket, asio::dynamic_buffer(input), "\r\n\r\n",
            [&](std::error_code, std::size_t) {
                std::error_code ignored;
                asio::write(socket, asio::buffer(canned), ignored);
                socket.shutdown(tcp::socket::shutdown_send, ignored);
            });
    });
    load_request request;
    request.url = {acceptor.local_endpoint(), path};
    request.method = method;
    request.token = "mine";
    request.body = method == "POST" ? "abc" : "";
    load_result out;
    std::make_shared<load_connection>(context)->run(
        request, [&](load_result const& result) { out = result; });
    context.run();
    return out;
}

// Guards against a load run that takes another request's answer, a corrupt
// body or a cut connection for a success.
TEST_CASE("wrong, foreign and cut answers are told from good ones") {
    struct row {
        char const* name;
        char const* canned;
        char const* method;
        char const* path;
        load_end end;
        bool foreign;
        bool unproven;
        bool wrong_body;
    };
    row const rows[] = {
        {"good",
         "HTTP/1.1 200 OK\r\nYuccabeam-Echo: mine\r\n"
         "Content-Length: 2\r\n\r\nok",
         "GET", "/", load_end::answered, false, false, false},
        {"until the end of the stream",
         "HTTP/1.1 200 OK\r\nYuccabeam-Echo: mine\r\n\r\nok", "GET", "/",
         load_end::answered, false, false, false},
        {"other token",
         "HTTP/1.1 200 OK\r\nYuccabeam-Echo: other\r\n"
         "Content-Length: 2\r\n\r\nok",
         "GET", "/", load_end::answered, true, false, false},
        {"no token", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "GET",
         "/", load_end::answered, false, true, false},
        {"own error of a proxy", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
         "GET", "/", load_end::answered, false, false, false},
        {"two answers",
         "HTTP/1.1 200 OK\r\nYuccabeam-Echo: mine\r\n"
         "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
         "GET", "/", load_end::malformed, false, false, false},
        {"wrong bytes",
         "HTTP/1.1 200 OK\r\nYuccabeam-Echo: mine\r\n"
         "Content-Length: 2\r\n\r\nok",
         "GET", "/bytes/2", load_end::answered, false, false, true},
        {"too few bytes",
         "HTTP/1.1 200 OK\r\nYuccabeam-Echo: mine\r\n"
         "Content-Length: 0\r\n\r\n",
         "GET", "/bytes/2", load_end::answered, false, false, true},
        {"other echo",
         "HTTP/1.1 200 OK\r\nYuccabeam-Echo: mine\r\n"
         "Content-Length: 3\r\n\r\nabd",
         "POST", "/", load_end::answered, false, false, true},
        {"shorter echo",
         "HTTP/1.1 200 OK\r\nYuccabeam-Echo: mine\r\n"
         "Content-Length: 2\r\n\r\nab",
         "POST", "/", load_end::answered, false, false, true},
        {"cut body",
         "HTTP/1.1 200 OK\r\nYuccabeam-Echo: mine\r\n"
         "Content-Length: 3\r\n\r\nok",
         "GET", "/", load_end::truncated, false, false, false},
        {"cut chunks",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
         "GET", "/", load_end::truncated, false, false, false},
        {"nothing", "", "GET", "/", load_end::closed, false, false, false},
        {"no HTTP", "hello\r\n\r\n", "GET", "/", load_end::malformed, false,
         false, false},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        auto const result = exchange(row.canned, row.method, row.path);
        CHECK(to_string(result.end) == to_string(row.end));
        CHECK(result.foreign == row.foreign);
        CHECK(result.unproven == row.unproven);
        CHECK(result.wrong_body == row.wrong_body);
    }
}

// Guards against load on another machine by a mistyped address.
TEST_CASE("only loopback URLs are accepted") {
    CHECK(parse_load_url("http://127.0.0.1:80/a?b=c"));
    CHECK(parse_load_url("http://127.0.0.2:80"));
    for (auto const* text :
         {"http://192.0.2.1:80/", "http://localhost:80/", "http://127.0.0.1/",
          "https://127.0.0.1:80/", "http://127.0.0.1:0/",
          "http://127.0.0.1:80x/", ""})
        CHECK_FALSE(parse_load_url(text));
}

// Guards against a quantile that is off by one rank.
TEST_CASE("quantiles are values of the sample at the rank above") {
    std::vector<int> values;
    for (int i = 1; i <= 100; ++i)
        values.push_back(i);
    CHECK(quantile(values, 0.5) == 50);
    CHECK(quantile(values, 0.99) == 99);
    CHECK(quantile(values, 1.0) == 100);
    CHECK(quantile(values, 0.0) == 1);
    CHECK(quantile(std::vector<int>{}, 0.5) == 0);
}

} // namespace
} // namespace yuccabeam::bench
