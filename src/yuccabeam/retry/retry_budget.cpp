#include "yuccabeam/retry/retry_budget.hpp"

#include <algorithm>

namespace yuccabeam::retry {

retry_budget::retry_budget(retry_budget_options options)
    : options_(options), thousandths_(std::uint64_t{1000} * options.burst) {}

void retry_budget::on_request() {
    thousandths_ = std::min(thousandths_ + options_.share_permille,
                            std::uint64_t{1000} * options_.burst);
}

bool retry_budget::take() {
    if (!available())
        return false;
    thousandths_ -= 1000;
    return true;
}

} // namespace yuccabeam::retry
