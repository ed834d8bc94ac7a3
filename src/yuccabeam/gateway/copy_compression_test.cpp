#include "yuccabeam/gateway/copy_compression.hpp"

#include <doctest/doctest.h>

using namespace yuccabeam::gateway;

namespace {

std::string routes(int count) {
    std::string out;
    for (int i = 0; i < count; ++i) {
        auto const name = std::to_string(i * 7919 % 100'003);
        out.append(R"({"resource_kind":"routes","metadata":{"name":"r)")
            .append(name)
            .append(R"("},"spec":{"host":"h.example","prefix":"/p)")
            .append(name)
            .append(R"(/","kind":"idempotent","timeout_s":2.5}})");
    }
    return out;
}

} // namespace

TEST_CASE("a copy is the same after compression and takes under a quarter of "
          "the bytes") {
    auto const plain = routes(2'800);
    auto const compressed = compress_copy(plain);
    CHECK(compressed.size() * 4 < plain.size());
    CHECK(decompress_copy(compressed) == plain);
    CHECK(decompress_copy(compress_copy("")) == "");
}

// Guards against a daemon that applies or allocates what isn't a whole copy.
TEST_CASE("bytes that aren't a whole frame of a sensible size are rejected") {
    auto const compressed = compress_copy(routes(100));
    auto flipped = compressed;
    flipped[flipped.size() / 2] ^= 0x55;
    flipped[5] ^= 0x55;
    struct row {
        char const* guards;
        std::string bytes;
        std::size_t max_bytes = max_copy_bytes;
    };
    row const rows[] = {
        {"nothing", ""},
        {"no frame", "no frame at all"},
        {"a cut frame", compressed.substr(0, compressed.size() - 1)},
        {"bytes after the frame", compressed + "x"},
        {"damaged bytes", flipped},
        {"content above the limit", compressed, 100},
    };
    for (auto const& row : rows) {
        CAPTURE(std::string(row.guards));
        CHECK_FALSE(decompress_copy(row.bytes, row.max_bytes));
    }
}
