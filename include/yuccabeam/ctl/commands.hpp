#pragma once

#include "yuccabeam/config/edit.hpp"
#include "yuccabeam/config/publish.hpp"
#include "yuccabeam/ctl/outcome.hpp"

#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::ctl {

/// Items that a register or rules file asks for, and the kinds of item that
/// it speaks for: items of these kinds that it doesn't name are removed.
struct wanted_items {
    config::item_map items;
    bool has_register = false;
    bool has_rules = false;
    /// Revision that a file of `show` was made from.
    std::optional<revision> base;
};

/// Reads a register, a rules file or a file of `show`; the fields tell which
/// one it is. An id that is named twice is a fault.
std::optional<wanted_items> parse_items(std::string_view text,
                                        std::vector<json_fault>& faults);

/// Adds the items of one more file. An item of two files is a fault.
void add(wanted_items file, wanted_items& all, std::vector<json_fault>& faults);

/// The whole configuration after the files are taken over.
config::item_map merged(config::item_map const& current,
                        wanted_items const& wanted);

/// Sentences on the outcome of publishing an edit.
outcome describe(config::publish_outcome const& published,
                 std::string const& edit_id);

/// One line for each operation: added, changed, removed.
std::string describe(std::vector<config::operation> const& operations);

} // namespace yuccabeam::ctl
