#pragma once

#include "yuccabeam/gateway/copy_sharing.hpp"
#include "yuccabeam/gateway/formats.hpp"
#include "yuccabeam/gateway/store_availability.hpp"
#include "yuccabeam/gateway/store_schedule.hpp"
#include "yuccabeam/gateway/transfers.hpp"
#include "yuccabeam/http1/client.hpp"
#include "yuccabeam/mirror/store_mirror.hpp"
#include "yuccabeam/telemetry/event_log.hpp"
#include "yuccabeam/values/time.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace yuccabeam::gateway {

struct store_sync_options {
    std::string address;
    store_schedule_options schedule;
    store_availability_options availability;
    std::chrono::milliseconds call_timeout{1'500};
    /// Of listings, watches, checks and pulls, whose responses may be large.
    http1::progress_limits progress;
    /// When a transfer is so slow that another source is asked beside it.
    transfer_pace_options pace;
    /// Time to the first byte of a pull.
    std::chrono::milliseconds pull_timeout{700};
    /// Time for which peers are asked for changes that they are known to have
    /// before the store is: their copies are smaller.
    std::chrono::milliseconds peers_first{800};
    std::chrono::milliseconds entry_retry{1'000};
    std::chrono::seconds entry_ttl{45};
    std::chrono::seconds entry_renewal{15};
    std::string control;   ///< this daemon's control address
    std::string entry_key; ///< key of this daemon's registration
    std::string entry_value;
};

struct store_sync_counters {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t listings = 0;
    std::uint64_t checks = 0;
    std::uint64_t pulls = 0;
    std::uint64_t pull_failures = 0;
    /// Changes applied before others that the copy is missing.
    std::uint64_t early_changes = 0;
    std::uint64_t slow_transfers = 0;
};

struct store_sync_callbacks {
    /// The copy has changed. `from_store` is true for changes that this daemon
    /// read from the store itself, false for those received from a peer.
    std::function<void(mirror::store_changes const&, bool from_store)> changed;
    std::function<bool()> should_watch;
    /// A watch or check has just confirmed the copy.
    std::function<void()> confirmed;
    std::function<void(std::vector<std::string> const&)> peers_discovered;
};

/// Keeps a copy of the store: lists it once, watches it while `should_watch`
/// says so, and applies changes received from other daemons. It also registers
/// this daemon in the store under a lease.
class store_sync : public std::enable_shared_from_this<store_sync> {
public:
    store_sync(asio::any_io_executor executor, http1::client& client,
               store_format const& format, store_sync_options options,
               store_sync_callbacks callbacks, telemetry::event_log& log);

    /// Starts the calls that are due. To be called every few tens of
    /// milliseconds.
    void tick(time_point now);

    /// Applies changes that a peer forwarded. Returns false when earlier
    /// changes are missing from the copy, which keeps its revision then.
    bool apply_peer_changes(mirror::store_changes const& changes);
    /// A peer reported that `revision` was the store's newest at `at`.
    void on_confirmed(std::uint64_t revision, time_point at);
    /// A peer reported a period in which the store answered the fleet.
    void on_available(available_period const& period);
    /// Requests the changes since the copy's revision from one of the daemons
    /// that are `ahead`, or to which these have referred. `random` is a random
    /// number.
    void pull(std::vector<newer_copy> const& ahead, std::uint64_t random,
              time_point now);
    /// No peer is known to have a newer copy.
    void on_current();
    /// Removes this daemon's registration by revoking its lease.
    void withdraw();

    mirror::store_mirror const& mirror() const { return mirror_; }
    bool loaded() const { return mirror_.revision() > 0; }
    /// This daemon watches the store and its last watch succeeded.
    bool watching() const { return schedule_.watching(); }
    /// Time since the copy was last confirmed to be current.
    duration copy_age(time_point now) const { return schedule_.copy_age(now); }
    /// A lower bound of the time at which the changes of the last `changed`
    /// callback were made: the copy was confirmed at this moment.
    time_point changed_after() const { return changed_after_; }
    /// What is known of the store's answers to the whole fleet.
    store_availability const& availability() const { return availability_; }
    /// The last completed list, watch or check failed.
    bool last_call_failed() const { return schedule_.last_call_failed(); }
    /// The last call failed, or a response of the store is arriving so slowly
    /// that peers should read from the store in place of this daemon.
    bool store_impaired() const {
        return last_call_failed() || transfers_.store_slow();
    }
    store_sync_counters const& counters() const { return counters_; }

private:
    using handler = std::function<void(store_status, http1::client_result)>;

    void call(http1::client_request request, std::chrono::milliseconds timeout,
              handler handler);
    /// The same for a response that may be large.
    void read(http1::client_request request, planned_call const& plan,
              handler handler);
    void address_store(http1::client_request& request,
                       std::chrono::milliseconds timeout);
    void receive(transfer_source source, http1::client_request request,
                 http1::client::handler handler);
    void find_slow_transfers(time_point now);
    void end_slow_calls();
    http1::client::handler store_handler(handler handler);
    void apply_early(mirror::store_changes const& changes);
    bool awaits_peers(time_point now) const;
    void on_pulled(std::string const& source,
                   http1::client_result const& response);
    void list(planned_call const& plan, std::string after);
    void on_page(planned_call const& plan,
                 http1::client_result const& response);
    void watch(planned_call const& plan);
    void on_watch(planned_call const& plan, store_status status,
                  http1::client_result const& response, std::uint64_t after);
    void succeed(planned_call const& plan, http1::client_result const& response,
                 bool has_changes);
    void on_answer(planned_call const& plan,
                   http1::client_result const& response);
    void fail(planned_call const& plan, store_status status,
              http1::client_result const& response);
    std::uint64_t era_of(http1::client_result const& response) const;
    void on_era(std::uint64_t era, time_point now);
    void maintain_entry(time_point now);
    void register_entry();
    void put_entry();

    asio::any_io_executor executor_;
    http1::client& client_;
    store_format const& format_;
    store_sync_options options_;
    store_sync_callbacks callbacks_;
    telemetry::event_log& log_;
    mirror::store_mirror mirror_;
    store_sync_counters counters_;

    store_schedule schedule_;
    store_availability availability_;
    time_point changed_after_{};
    std::vector<mirror::stored_item> listed_;
    std::uint64_t listing_revision_ = 0;

    transfers transfers_;
    pull_sources sources_;
    std::optional<time_point> pulling_since_; ///< as the copy is behind
    time_point next_pull_{};

    bool entry_call_in_flight_ = false;
    bool withdrawn_ = false;
    std::uint64_t lease_ = 0;
    bool entry_written_ = false;
    /// The newest era of the store that an answer or a copy has shown.
    std::uint64_t era_ = 0;
    time_point next_entry_call_{};
};

} // namespace yuccabeam::gateway
