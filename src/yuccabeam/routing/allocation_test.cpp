#include "yuccabeam/routing/route_table.hpp"
#include "yuccabeam/routing/select.hpp"

#include <cstdlib>
#include <doctest/doctest.h>
#include <new>
#include <vector>

namespace {
std::size_t allocations = 0;
}

// Not inlined, as the compiler would report malloc and delete as mismatched.
[[gnu::noinline]] void* operator new(std::size_t size) {
    ++allocations;
    if (auto* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void* memory) noexcept {
    std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, std::size_t) noexcept {
    std::free(memory);
}

namespace yuccabeam::routing {
namespace {

// Guards against memory allocations on the path of every request.
TEST_CASE("route lookup and selection allocate nothing") {
    route_table const table({{{"r"}, "shop.example", "/stock", {"s"}}});
    std::vector<candidate> const all(8);
    std::vector<std::uint32_t> const excluded = {9};
    std::mt19937_64 random(3);
    auto const before = allocations;
    auto const* route = table.find("Shop.example:80", "/stock/7?x=1");
    auto const selected = select(all, {}, excluded, random);
    auto const after = allocations;
    CHECK(route);
    CHECK(selected.status == select_status::chosen);
    CHECK(after == before);
    CHECK(before > 0);
}

} // namespace
} // namespace yuccabeam::routing
