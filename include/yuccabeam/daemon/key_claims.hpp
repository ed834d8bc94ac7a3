#pragma once

#include "yuccabeam/daemon/run_guard.hpp"
#include "yuccabeam/retry/key_claim.hpp"
#include "yuccabeam/values/ids.hpp"

#include <asio/thread_pool.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace yuccabeam::daemon {

/// Store operations that claims need. They block; errors become events.
class claim_store {
public:
    virtual ~claim_store() = default;
    /// Creates the key if it is absent; the lease ends it.
    virtual retry::claim_event create(std::string const& key,
                                      std::string const& value,
                                      duration lease) = 0;
    virtual retry::claim_event read(std::string const& key) = 0;
    /// Deletes the key if it still has this value.
    virtual retry::claim_event remove(std::string const& key,
                                      std::string const& value) = 0;
};

/// Why a keyed request may not run.
enum class claim_refusal {
    conflict, ///< another request holds the key
    unknown   ///< the store can't tell, or the rate is used up
};

/// Claims of free idempotency keys, with threads of its own for the store's
/// blocking calls.
class key_claims {
public:
    using answer =
        std::function<void(std::variant<run_guard_ptr, claim_refusal>)>;

    key_claims(daemon_id self, incarnation self_incarnation,
               std::shared_ptr<claim_store> store, time_point now);
    ~key_claims();

    /// Claims a key; `done` runs in another thread, or at once when this
    /// daemon's share of the claim rate is used up.
    void claim(account_id const& account, std::string const& key, answer done);

    /// Number of live daemons, which share the fleet's claim rate.
    void set_daemons(std::size_t count, time_point now);

private:
    friend class claim_guard;

    std::string unique_value();

    std::string value_prefix_;
    std::atomic<std::uint64_t> claims_{0};
    std::shared_ptr<claim_store> store_;
    std::mutex mutex_;
    retry::claim_rate rate_;
    // Last, so that its threads end before the rest goes away.
    asio::thread_pool threads_;
};

} // namespace yuccabeam::daemon
