#pragma once

#include "yuccabeam/codec/envelope.hpp"
#include "yuccabeam/codec/message.hpp"
#include "yuccabeam/config/readiness.hpp"
#include "yuccabeam/daemon/service_pool.hpp"
#include "yuccabeam/health/service_health.hpp"
#include "yuccabeam/membership/config_spread.hpp"
#include "yuccabeam/membership/membership.hpp"
#include "yuccabeam/values/fault.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace yuccabeam::daemon {

struct peer_hub_options {
    codec::deployment_key key;
    health::observer_identity self;
    std::string bind_address; ///< UDP, `IP:port`
    std::string http_address; ///< chunks and relayed requests
};

/// What the hub hands on; called in the hub's threads without its lock.
struct peer_hub_callbacks {
    std::function<void(health_message)> health;
    std::function<void(membership::fetch_request)> fetch;
    std::function<void(target_id const&)> leaving_target;
    std::function<void()> members_changed;
};

struct peer_counters {
    std::uint64_t sent_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::uint64_t dropped = 0;
};

/// Messages between daemons: membership, configuration announcements and
/// the health of services.
class peer_hub {
public:
    peer_hub(peer_hub_options options, peer_hub_callbacks callbacks);
    ~peer_hub();
    peer_hub(peer_hub const&) = delete;
    peer_hub& operator=(peer_hub const&) = delete;

    result<void> start();

    /// Probes members and retries fetches; call it every few tens of
    /// milliseconds.
    void tick(time_point now);

    /// Takes the platform's VM list.
    void hint(std::vector<membership::vm_list_entry> const& vms,
              time_point now);

    /// Sends a report to its arbiter, or a table to its receiver.
    void send(health_message const& message);

    /// A revision came into force here: tells some peers.
    void config_applied(membership::config_digest const& config);
    /// A watcher saw a revision in the store.
    void config_in_store(membership::config_digest const& config);
    void fetch_failed(time_point now);

    void set_ready(bool ready);
    void set_leaving_targets(std::vector<target_id> targets);

    /// Says goodbye to the fleet.
    void leave(time_point now);

    /// This daemon and the members that count as live.
    std::vector<membership::member> live_members() const;
    membership::member self() const;
    peer_counters counters() const;
    /// The daemons of the VM list and the live members, without this one.
    std::vector<config::peer_status> peers() const;
    /// Daemons that the VM list or the membership knows, this one included;
    /// 0 while the VM list is unknown.
    std::size_t known_daemons() const;
    bool vm_list_known() const;
    /// Time of the newest message from any peer.
    std::optional<time_point> last_heard() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self_;
};

} // namespace yuccabeam::daemon
