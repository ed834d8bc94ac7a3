#pragma once

#include <cstdint>

namespace yuccabeam::retry {

struct retry_budget_options {
    /// Retries and hedges per request, in thousandths.
    std::uint32_t share_permille = 100;
    /// Retries that may follow each other without new requests. The budget
    /// starts full, so that a service with little traffic can retry at all.
    std::uint32_t burst = 10;
};

/// Token bucket that requests fill and that retries and hedges drain: a
/// service never sends more than burst + share x requests of them.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options = {});

    /// Counts a caller's request; call it once per request.
    void on_request();
    bool available() const { return thousandths_ >= 1000; }
    /// Takes a token; false, and no change, when there is none.
    bool take();

private:
    retry_budget_options options_;
    std::uint64_t thousandths_;
};

} // namespace yuccabeam::retry
