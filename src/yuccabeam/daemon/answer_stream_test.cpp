#include "yuccabeam/daemon/answer_stream.hpp"

#include <deque>
#include <doctest/doctest.h>

namespace yuccabeam::daemon {
namespace {

// Caller who takes bytes only when told to.
class slow_caller final : public adapters::http_responder {
public:
    void send(adapters::http_reply) override {}
    void start(int, adapters::http_fields const&,
               std::optional<std::uint64_t>) override {}
    void write(std::string part, written_callback written) override {
        waiting_bytes += part.size();
        received += part;
        waiting.emplace_back(part.size(), std::move(written));
    }
    void finish() override {}
    void abort() override {}
    void on_closed(std::function<void()>) override {}

    void take_one() {
        auto const [bytes, written] = std::move(waiting.front());
        waiting.pop_front();
        waiting_bytes -= bytes;
        written(true);
    }

    std::deque<std::pair<std::size_t, written_callback>> waiting;
    std::size_t waiting_bytes = 0;
    std::string received;
};

// Guards against a daemon whose memory grows with a download, and against a
// download that stalls or loses bytes once its caller catches up.
TEST_CASE("a slow caller bounds what waits and gets every byte") {
    constexpr std::size_t part_bytes = 16 * 1024;
    constexpr std::size_t bound = 256 * 1024 + part_bytes;
    auto const caller = std::make_shared<slow_caller>();
    adapters::target_client client;
    answer_stream stream(caller, client);
    auto const confirm = [&](std::size_t bytes, bool) {
        stream.written(bytes, 1);
    };
    std::string sent;
    for (int i = 0; i < 1000; ++i) {
        std::string const part(part_bytes, static_cast<char>('a' + i % 26));
        // A refused part comes again, as the client does after a resume.
        while (!stream.write(part, confirm)) {
            REQUIRE_FALSE(caller->waiting.empty());
            caller->take_one();
        }
        sent += part;
        CHECK(caller->waiting_bytes <= bound);
    }
    CHECK(stream.delivered() == sent.size());
    CHECK(caller->received == sent);
}

} // namespace
} // namespace yuccabeam::daemon
