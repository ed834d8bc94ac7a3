#pragma once

#include <cstdint>

namespace yuccabeam::retry {

struct retry_budget_options {
    /// Retries and hedges per request, in thousandths.
    std::uint32_t share_permille = 100;
    /// Bucket size: retries allowed without new requests in between. The
    /// bucket starts full, so that a service with little traffic can retry.
    std::uint32_t burst = 10;
};

/// Token bucket that requests fill and that retries and hedges drain. A
/// service sends at most burst + share x requests retries and hedges.
class retry_budget {
public:
    explicit retry_budget(retry_budget_options options = {});

    /// Adds one request's share; call it once per request, not per attempt.
    void on_request();
    bool available() const { return thousandths_ >= 1000; }
    /// Takes a token. Returns false, without a change, if none is available.
    bool take();

private:
    retry_budget_options options_;
    std::uint64_t thousandths_;
};

} // namespace yuccabeam::retry
