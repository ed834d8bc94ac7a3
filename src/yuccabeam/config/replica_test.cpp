#include "yuccabeam/config/replica.hpp"

#include "yuccabeam/config/edit.hpp"
#include "yuccabeam/config/publish.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace yuccabeam::config {
namespace {

/// Accepted revisions with all chunks that were ever written.
struct chain {
    std::vector<item_map> items{{}};
    std::vector<head> heads{{}};
    chunk_map chunks;

    void accept(item_map next) {
        stored_configuration current;
        current.head.value = heads.back();
        auto const made =
            prepare(current, next, {make_edit_id(0, 1), "tester", {}});
        chunks.insert(made.chunks.begin(), made.chunks.end());
        heads.push_back(made.next);
        items.push_back(std::move(next));
    }
};

void fetch_all(replica& copy, chunk_map const& chunks) {
    while (!copy.missing().empty())
        for (auto const& hash : copy.missing())
            copy.offer(hash, chunks.at(hash));
}

item_map many_accounts(std::size_t count) {
    item_map out;
    for (std::size_t i = 0; i < count; ++i) {
        account const value{{"account-" + std::to_string(i)}, 1};
        out.emplace(key_of(value), value);
    }
    return out;
}

// Guards against a value in the store, written by other software, that crashes
// the daemon.
TEST_CASE("a head or a chunk that can't be parsed as JSON is rejected") {
    std::string const deep =
        std::string(1'000'000, '[') + std::string(1'000'000, ']');
    std::string const texts[] = {
        deep,
        R"({"revision":1e400,"manifest":"m"})",
        R"({"revision":)" + deep + R"(,"manifest":"m"})",
        R"({"leaf":{"a":1e400}})",
        R"({"leaf":)" + deep + "}",
        R"({"leaf":{"a":)" + deep + "}}",
    };
    for (auto const& text : texts) {
        CAPTURE(text.substr(0, 40));
        CHECK_FALSE(parse_head(text));
        CHECK_FALSE(parse_chunk(text));
    }
}

// Guards against refetching the whole configuration for a small change.
TEST_CASE("one changed item costs a few chunks of a large configuration") {
    chain accepted;
    auto items = many_accounts(20'000);
    accepted.accept(items);
    replica copy;
    copy.announce(accepted.heads[1]);
    fetch_all(copy, accepted.chunks);
    REQUIRE(copy.applied() == accepted.heads[1]);
    items.at("account/account-77") = account{{"account-77"}, 9};
    accepted.accept(items);
    copy.announce(accepted.heads[2]);
    std::size_t bytes = 0;
    while (!copy.missing().empty())
        for (auto const& hash : copy.missing()) {
            bytes += accepted.chunks.at(hash).size();
            copy.offer(hash, accepted.chunks.at(hash));
        }
    CHECK(*copy.current() == assemble(items, 2));
    // 6,200 changes a day at 2 KB/s leave 28 KB for each change.
    CHECK(bytes < 28'000);
}

// Guards against a leaf above the store's limit for a value, and against a
// tree that depends on the order of edits.
TEST_CASE("a tree's chunks stay small and reading them gives the items") {
    for (std::size_t const count : {0U, 1U, 40U, 3'000U}) {
        CAPTURE(count);
        auto const items = many_accounts(count);
        auto const tree = build_tree(items);
        item_map read;
        for (auto const& [hash, text] : tree.chunks) {
            CHECK(text.size() < 2 * leaf_bytes);
            CHECK(hash_of(std::string_view(text)) == hash);
            auto const parsed = parse_chunk(text).value();
            if (auto const* end = std::get_if<leaf>(&parsed))
                for (auto const& value : end->items)
                    read.emplace(key_of(value), value);
        }
        CHECK(read == items);
    }
}

// Guards against a malformed stored text that crashes the daemon or is applied.
TEST_CASE("a revision that can't be read is abandoned, the old one stays") {
    chain good;
    good.accept(many_accounts(3));
    auto const hash = std::string(64, 'a');
    struct row {
        char const* name;
        std::string root;
    };
    row const rows[] = {
        {"not JSON", "{"},
        {"unknown kind", R"({"branch":{}})"},
        {"two kinds", R"({"leaf":{},"inner":{}})"},
        {"unknown key", R"({"leaf":{"colour/x":{"id":"x"}}})"},
        {"empty id", R"({"leaf":{"account/":{"id":""}}})"},
        {"id unlike the key", R"({"leaf":{"account/x":{"id":"y"}}})"},
        {"unknown field", R"({"leaf":{"account/x":{"id":"x","w":1}}})"},
        {"wrong type", R"({"leaf":{"account/x":7}})"},
        {"leaf that is a list", R"({"leaf":[]})"},
        {"child without hash", R"({"inner":{"0":"abc"}})"},
        {"a manifest as the root",
         R"({"manifest":{"revision":2,"previous":"","root":")" + hash +
             R"(","edit_id":"e","author":"x"}})"},
    };
    for (auto const& row : rows) {
        CAPTURE(row.name);
        replica copy;
        copy.announce(good.heads[1]);
        fetch_all(copy, good.chunks);
        auto const root = hash_of(std::string_view(row.root));
        auto const text =
            text_of(manifest{2, good.heads[1].manifest, root, "e", "x"});
        head const bad{2, hash_of(std::string_view(text))};
        copy.announce(bad);
        CHECK(copy.offer(bad.manifest, text) == replica::offer_outcome::stored);
        CHECK(copy.offer(root, row.root) == replica::offer_outcome::unreadable);
        CHECK(copy.applied() == good.heads[1]);
        CHECK(copy.missing().empty());
        CHECK(copy.rejected() == 1);
        copy.announce(bad);
        CHECK(copy.missing().empty());
    }
}

chain random_chain() {
    chain out;
    auto items =
        many_accounts(static_cast<std::size_t>(*rc::gen::element(0, 5, 150)));
    auto const revisions = *rc::gen::inRange(1, 8);
    for (int i = 0; i < revisions; ++i) {
        auto const name =
            "account-" + std::to_string(*rc::gen::inRange(0, 160));
        auto const weight = *rc::gen::inRange<std::uint32_t>(0, 3);
        items.erase("account/" + name);
        if (weight != 0)
            items.emplace("account/" + name, account{{name}, weight});
        if (*rc::gen::inRange(0, 4) == 0)
            items["policy"] = *rc::gen::element(
                ejection_policy::detect_fast, ejection_policy::eject_carefully);
        out.accept(items);
    }
    return out;
}

// Guards against a replica that reverts to a lower revision, applies a mixture
// of revisions or stops making progress, for any order of announcements and
// chunks.
TEST_CASE("replicas under reordered, repeated and lost messages") {
    CHECK(rc::check([] {
        auto const accepted = random_chain();
        auto const newest = accepted.heads.size() - 1;
        replica copy;
        auto const steps = *rc::gen::inRange(0, 120);
        for (int i = 0; i < steps; ++i) {
            auto const before = copy.applied().revision;
            auto const missing = copy.missing();
            switch (*rc::gen::inRange(0, 12)) {
            case 0: // may be stale, as from a lagging store replica
            case 1:
                copy.announce(
                    accepted
                        .heads[*rc::gen::inRange<std::size_t>(1, newest + 1)]);
                break;
            case 2:
                copy.abandon();
                break;
            case 3:
                if (!missing.empty())
                    RC_ASSERT(copy.offer(missing[0], "{}") ==
                              replica::offer_outcome::wrong_hash);
                break;
            case 4: { // a chunk that was not requested, or a late reply
                auto const& [hash, text] = *std::next(
                    accepted.chunks.begin(),
                    *rc::gen::inRange<std::ptrdiff_t>(
                        0,
                        static_cast<std::ptrdiff_t>(accepted.chunks.size())));
                copy.offer(hash, text);
                break;
            }
            case 5:
                if (*rc::gen::inRange(0, 6) == 0) {
                    copy = replica();
                    continue;
                }
                break;
            default:
                if (!missing.empty()) {
                    auto const hash = *rc::gen::elementOf(missing);
                    copy.offer(hash, accepted.chunks.at(hash));
                }
            }
            auto const now = copy.applied().revision;
            RC_ASSERT(now >= before);
            RC_ASSERT(copy.applied() == accepted.heads[now]);
            if (now != 0)
                RC_ASSERT(*copy.current() ==
                          assemble(accepted.items[now], now));
        }
        copy.announce(accepted.heads.back());
        fetch_all(copy, accepted.chunks);
        RC_ASSERT(copy.applied() == accepted.heads.back());
        RC_ASSERT(*copy.current() == assemble(accepted.items.back(), newest));
    }));
}

} // namespace
} // namespace yuccabeam::config
