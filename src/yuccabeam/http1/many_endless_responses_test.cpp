#include "yuccabeam/http1/client.hpp"

#include "heap_watch.hpp"
#include "scripted_peer.hpp"
#include "yuccabeam/standins/endless_answer.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam;
using namespace yuccabeam::http1;
using standins::endless_kind;

namespace {

constexpr std::size_t endless_calls = 64;
constexpr std::size_t sound_calls = 40;
// What a process with 260 MB gives to bodies, and what it has in all.
constexpr std::size_t budget_bytes = 130'000'000;
constexpr std::size_t process_bytes = 260'000'000;

std::string const sound_body(300'000, 's');
std::string const sound = "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: " +
                          std::to_string(sound_body.size()) + "\r\n\r\n" +
                          sound_body;

client_request request_to(scripted_peer const& peer) {
    client_request out;
    out.address = peer.address();
    out.fields = {{"Host", "t"}};
    out.match_field = "Id";
    out.match_value = "mine";
    out.connect_timeout = out.timeout = std::chrono::seconds(300);
    return out;
}

struct outcome {
    std::size_t sound_served = 0;
    std::size_t endless_ended = 0;
    std::size_t heap = 0;
    std::size_t held_after = 0;
};

// Sound requests follow one another while the endless responses arrive.
outcome play(endless_kind kind) {
    asio::io_context context;
    scripted_peer sound_peer(
        context, std::vector<scripted_peer::reply>(sound_calls, {sound}));
    auto const memory = std::make_shared<memory_budget>(budget_bytes);
    outcome out;
    heap_watch heap;
    {
        client client(context.get_executor(), {.memory = memory});
        auto const bytes = standins::make_endless_answer(kind, "Id: mine\r\n",
                                                         "Id: other\r\n");
        std::vector<std::unique_ptr<scripted_peer>> peers;
        for (std::size_t i = 0; i < endless_calls; ++i) {
            peers.push_back(std::make_unique<scripted_peer>(
                context, std::vector<scripted_peer::reply>{
                             {bytes.start, false, false, bytes.repeated}}));
            client.start(request_to(*peers.back()),
                         [&](client_result const&) { ++out.endless_ended; });
        }
        std::size_t sound_sent = 0;
        std::size_t sound_ended = 0;
        while (out.endless_ended < endless_calls || sound_ended < sound_calls) {
            if (sound_sent == sound_ended && sound_sent < sound_calls) {
                ++sound_sent;
                client.start(request_to(sound_peer),
                             [&](client_result const& result) {
                                 ++sound_ended;
                                 out.sound_served +=
                                     result.status == client_status::complete &&
                                     result.body == sound_body;
                             });
            }
            REQUIRE(context.run_one() == 1);
            heap.sample();
        }
    }
    out.heap = heap.peak_growth();
    out.held_after = memory->held();
    return out;
}

} // namespace

// Guards against a process that runs out of memory, with the requests of all
// its callers, because many targets send without end at once.
TEST_CASE("many endless responses at once leave memory for sound ones") {
    for (auto const& word : standins::endless_words) {
        CAPTURE(word.first);
        auto const result = play(word.second);
        CHECK(result.endless_ended == endless_calls);
        CHECK(result.sound_served == sound_calls);
        CHECK(result.heap <= process_bytes);
        CHECK(result.held_after == 0);
    }
}
