#pragma once

#include "yuccabeam/placement/repeat_budget.hpp"

#include <optional>
#include <string>

namespace yuccabeam::gateway {

/// A service's counts as they are kept in the store. The key has a lease of
/// one window, so that a note that is there is recent.
std::string write_repeat_note(placement::repeat_counts const& counts);

/// Empty for a text that is no note.
std::optional<placement::repeat_counts>
read_repeat_note(std::string const& text);

} // namespace yuccabeam::gateway
