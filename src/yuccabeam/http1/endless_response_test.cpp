#include "yuccabeam/http1/client.hpp"

#include "heap_watch.hpp"
#include "scripted_peer.hpp"
#include "yuccabeam/standins/endless_answer.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::http1;
using standins::endless_kind;

namespace {

constexpr std::size_t kib = 1 << 10;
constexpr std::size_t mib = 1 << 20;

constexpr std::size_t body_limit = 1 * mib;
constexpr std::size_t head_limit = 64 * kib;
constexpr std::size_t overhead_limit = 1 * mib;
// The client reads in blocks, so it may read this much beyond a limit.
constexpr std::size_t read_slack = 32 * kib;
// Bytes that the kernel buffers from a peer before the client reads them.
constexpr std::size_t socket_buffers = 8 * mib;
// A string that grows holds its old and its new storage at once.
constexpr std::size_t body_heap = 3 * body_limit + 1 * mib;
// The shortest header fields take many times their size in memory.
constexpr std::size_t head_heap = 2 * mib;
constexpr std::size_t other_heap = 256 * kib;

std::string const good =
    "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok";

scripted_peer::reply endless(endless_kind kind) {
    auto bytes =
        standins::make_endless_answer(kind, "Id: mine\r\n", "Id: other\r\n");
    return {std::move(bytes.start), false, false, std::move(bytes.repeated)};
}

client_options small_limits() {
    client_options out;
    out.max_response_bytes = body_limit;
    return out;
}

client_request request_to(scripted_peer const& peer, std::string method) {
    client_request out;
    out.address = peer.address();
    out.method = std::move(method);
    out.fields = {{"Host", "t"}};
    out.match_field = "Id";
    out.match_value = "mine";
    out.connect_timeout = out.timeout = std::chrono::seconds(300);
    return out;
}

client_result ask(asio::io_context& context, client& client,
                  scripted_peer const& peer, heap_watch& heap) {
    std::optional<client_result> out;
    client.start(request_to(peer, "GET"),
                 [&](client_result result) { out = std::move(result); });
    REQUIRE(run_until(context, [&] {
        heap.sample();
        return out.has_value();
    }));
    return std::move(*out);
}

struct endless_case {
    endless_kind kind;
    client_status status;
    std::size_t max_bytes_read;
    std::size_t max_heap_growth;
};

std::vector<endless_case> const cases = {
    {endless_kind::no_http, client_status::malformed, head_limit, other_heap},
    {endless_kind::field, client_status::too_large, head_limit, head_heap},
    {endless_kind::fields, client_status::too_large, head_limit, head_heap},
    {endless_kind::chunked_body, client_status::too_large,
     body_limit + overhead_limit, body_heap},
    {endless_kind::unsized_body, client_status::too_large,
     body_limit + overhead_limit, body_heap},
    {endless_kind::other_answers, client_status::too_large, overhead_limit,
     other_heap},
    {endless_kind::interim_answers, client_status::too_large, overhead_limit,
     other_heap},
    // http_parser itself limits the size line of a chunk and the trailers.
    {endless_kind::chunk_size, client_status::malformed, overhead_limit,
     other_heap},
    {endless_kind::chunk_extension, client_status::malformed, overhead_limit,
     other_heap},
    {endless_kind::chunk_framing, client_status::too_large,
     body_limit + overhead_limit, body_heap},
    {endless_kind::trailers, client_status::malformed, overhead_limit,
     other_heap},
    {endless_kind::behind_answer, client_status::complete, read_slack,
     other_heap},
};

} // namespace

// Guards against a target whose endless response occupies memory and a
// connection until the call's deadline.
TEST_CASE("an endless response ends its call at a limit and its connection is "
          "closed") {
    REQUIRE(cases.size() == standins::endless_words.size());
    for (auto const& c : cases) {
        CAPTURE(to_string(c.kind));
        asio::io_context context;
        scripted_peer peer(context, {endless(c.kind), {good}});
        client client(context.get_executor(), small_limits());
        heap_watch heap;
        auto const result = ask(context, client, peer, heap);
        CHECK(to_string(result.status) == to_string(c.status));
        CHECK(result.bytes_read > 0);
        CHECK(result.bytes_read <= c.max_bytes_read + read_slack);
        CHECK(peer.repeated_bytes() <= c.max_bytes_read + socket_buffers);
        CHECK(result.body.size() <= body_limit);
        CHECK(heap.peak_growth() <= c.max_heap_growth);
        CHECK(run_until(context,
                        [&] { return peer.endless_connections() == 0; }));
        auto const next = ask(context, client, peer, heap);
        CHECK(next.body == "ok");
        CHECK_FALSE(next.reused);
        CHECK(peer.connections() == 2);
        CHECK(peer.requests().size() == 2);
    }
}

struct length_case {
    char const* guards;
    std::uint64_t length;
    client_status status;
};

// Guards against a client that reserves memory and waits for a body above its
// limit.
TEST_CASE("a response whose Content-Length exceeds the limit ends its call at "
          "its head") {
    std::vector<length_case> const lengths = {
        {"the longest body is accepted", body_limit, client_status::complete},
        {"one byte more", body_limit + 1, client_status::too_large},
        {"far more", std::uint64_t{1} << 60, client_status::too_large},
    };
    for (auto const& c : lengths) {
        CAPTURE(c.guards);
        asio::io_context context;
        std::string const head = "HTTP/1.1 200 OK\r\nId: mine\r\n"
                                 "Content-Length: " +
                                 std::to_string(c.length) + "\r\n\r\n";
        bool const whole = c.length <= body_limit;
        scripted_peer peer(
            context, {{head + std::string(whole ? c.length : 0, 'x'), !whole}});
        client client(context.get_executor(), small_limits());
        heap_watch heap;
        auto const result = ask(context, client, peer, heap);
        CHECK(to_string(result.status) == to_string(c.status));
        CHECK(heap.peak_growth() <= body_heap);
    }
}

// Guards against limits that reject a valid response as endless.
TEST_CASE("responses below the limits are accepted") {
    std::string const long_field(head_limit - 200, 'x');
    std::string const interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    std::string const other =
        "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 500000\r\n\r\n" +
        std::string(500'000, 'x');
    std::string const replies[] = {
        "HTTP/1.1 200 OK\r\nId: mine\r\nLong: " + long_field +
            "\r\nContent-Length: 2\r\n\r\nok",
        interim + interim + good,
        other + good,
        "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1;extension\r\no\r\n1\r\nk\r\n0\r\nTrailer: x\r\n\r\n",
    };
    for (auto const& reply : replies) {
        CAPTURE(reply.substr(0, 60));
        asio::io_context context;
        scripted_peer peer(context, {{reply}});
        client client(context.get_executor(), small_limits());
        heap_watch heap;
        auto const result = ask(context, client, peer, heap);
        CHECK(to_string(result.status) == to_string(client_status::complete));
        CHECK(result.body == "ok");
    }
}
