#include "yuccabeam/standins/target_content.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

namespace yuccabeam::standins {
namespace {

// Guards against a ranged answer whose bytes differ from the same part of the
// whole body, which would make a resumed download look corrupt.
TEST_CASE("a part of a body equals the same part of the whole body") {
    auto const held = rc::check([] {
        content const what{*rc::gen::arbitrary<std::uint64_t>(), 300};
        std::vector<char> whole(300);
        fill_content(what, 0, whole);
        auto const begin = *rc::gen::inRange<std::size_t>(0, 300);
        auto const end = *rc::gen::inRange<std::size_t>(begin, 301);
        std::vector<char> part(end - begin);
        fill_content(what, begin, part);
        RC_ASSERT(
            std::equal(part.begin(), part.end(),
                       whole.begin() + static_cast<std::ptrdiff_t>(begin)));
    });
    CHECK(held);
}

// Guards against two resources that a client could not tell apart.
TEST_CASE("seed and path give different bodies, the prefix does not") {
    auto const a = content_of_path("/bytes/64/a", 1);
    CHECK(a == content_of_path("/stock/bytes/64/a", 1));
    CHECK(a != content_of_path("/bytes/64/b", 1));
    CHECK(a != content_of_path("/bytes/64/a", 2));
    CHECK_FALSE(content_of_path("/bytes/x", 1));
    CHECK_FALSE(content_of_path("/bytes/", 1));
    CHECK_FALSE(content_of_path("/64", 1));
}

// Guards against off-by-one ranges and against a part of another version.
TEST_CASE("Range and If-Range choose the part that RFC 9110 names") {
    content const what{7, 100};
    auto const tag = etag_of(what);
    auto const other = etag_of({8, 100});
    struct row {
        std::string_view range;
        std::string_view if_range;
        range_choice expected;
    };
    range_choice const whole{range_kind::whole, {0, 100}};
    range_choice const none{range_kind::unsatisfiable, {}};
    row const rows[] = {
        {"", "", whole},
        {"bytes=0-0", "", {range_kind::part, {0, 1}}},
        {"bytes=10-19", "", {range_kind::part, {10, 20}}},
        {"bytes=10-", "", {range_kind::part, {10, 100}}},
        {"bytes=10-1000", "", {range_kind::part, {10, 100}}},
        {"bytes=-10", "", {range_kind::part, {90, 100}}},
        {"bytes=-1000", "", {range_kind::part, {0, 100}}},
        {"bytes=100-", "", none},
        {"bytes=-0", "", none},
        {"bytes=20-10", "", whole},
        {"bytes=a-b", "", whole},
        {"bytes=0-1,4-5", "", whole},
        {"bytes=10-19", tag, {range_kind::part, {10, 20}}},
        {"bytes=10-19", other, whole},
    };
    for (auto const& row : rows) {
        CAPTURE(row.range);
        CHECK(choose_range(what, row.range, row.if_range) == row.expected);
    }
}

} // namespace
} // namespace yuccabeam::standins
