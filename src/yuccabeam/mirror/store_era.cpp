#include "yuccabeam/mirror/store_era.hpp"

#include <algorithm>

namespace yuccabeam::mirror {

namespace {

bool fits(std::uint64_t number) {
    return number <= max_store_number;
}

std::uint64_t in_era(std::uint64_t number, std::uint64_t era) {
    return (era << store_number_bits) | number;
}

} // namespace

bool set_era(store_page& page, std::uint64_t era) {
    bool const all_fit = std::ranges::all_of(
        page.items, [](auto const& item) { return fits(item.revision); });
    if (era > max_store_era || !fits(page.revision) || !all_fit)
        return false;
    page.revision = in_era(page.revision, era);
    for (auto& item : page.items)
        item.revision = in_era(item.revision, era);
    return true;
}

bool set_era(store_changes& changes, std::uint64_t era) {
    bool const all_fit =
        std::ranges::all_of(changes.events, [](auto const& event) {
            return fits(event.item.revision);
        });
    if (era > max_store_era || !fits(changes.revision) || !all_fit)
        return false;
    changes.revision = in_era(changes.revision, era);
    for (auto& event : changes.events)
        event.item.revision = in_era(event.item.revision, era);
    return true;
}

} // namespace yuccabeam::mirror
