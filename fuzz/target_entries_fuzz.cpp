// Readers of what other writers leave in the platform's store: an entry of a
// target, the configuration, and the store's pages and changes.

#include "../platform/documents.hpp"
#include "../platform/store_calls.hpp"
#include "yuccabeam/values/ip_address.hpp"

#include <cstdint>
#include <cstdlib>

using namespace yuccabeam;

namespace {

void check_target(std::string const& text) {
    auto const read = platform::read_target("id", text);
    if (!read)
        return;
    auto const& target = read.value().target;
    auto const address = parse_ip_address(target.address);
    if (!address || address->any_host || target.slots == 0 ||
        read.value().warm_up_left.count() < 0)
        std::abort();
}

void check_policy(std::string const& text) {
    auto const read = platform::read_policy(text);
    if (!read)
        return;
    for (auto const& route : read.value().routes)
        if (route.timeout.count() < 0 || route.timeout > std::chrono::hours(24))
            std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data,
                                      std::size_t size) {
    static auto const store = platform::store_calls();
    std::string const text(reinterpret_cast<char const*>(data), size);
    check_target(text);
    check_policy(text);
    (void)store.read_page(text);
    (void)store.read_changes(text);
    (void)store.read_lease(text);
    (void)store.list("", text);
    return 0;
}
