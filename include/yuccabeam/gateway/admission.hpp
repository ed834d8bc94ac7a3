#pragma once

#include "yuccabeam/gateway/exchange.hpp"
#include "yuccabeam/net/one_shot_timer.hpp"
#include "yuccabeam/placement/service_admission.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace yuccabeam::gateway {

/// The configuration names client accounts or has routes with large requests.
bool calls_for_admission(traffic_policy const& policy);

/// Starts the exchanges of callers' requests. While a service has no free
/// slots, its requests wait in an admission queue or are refused as not run,
/// see `placement::service_admission`.
///
/// It does nothing but start exchanges while it isn't active.
class admission {
public:
    /// The references must outlive the object. `share` is this daemon's part of
    /// a service's requests.
    admission(exchange_dependencies const& dependencies,
              std::function<double(service_id const&, time_point)> share,
              placement::service_admission_options options = {},
              std::function<time_point()> clock = default_clock());
    ~admission();
    admission(admission const&) = delete;
    admission& operator=(admission const&) = delete;

    /// Starts the request's exchange, queues the request or refuses it.
    void start(routed_request request);
    /// The configuration calls for admission, or no longer does; then all
    /// queued requests start.
    void set_active(bool active);
    /// A request in flight at a target ended or started. The queues are looked
    /// at after the present handler.
    void on_activity();
    /// Ends the shortages that are over.
    void tick();
    /// Refuses all queued requests, as this daemon stops.
    void close();

    std::size_t queued() const { return held_.size(); }

private:
    using service_state = placement::service_admission;

    static std::function<time_point()> default_clock();
    placement::service_room room_of(service_id const& service,
                                    time_point now) const;
    service_state& state_of(service_id const& service);
    void forget(routed_request const& request, std::uint64_t id);
    void log_end(routed_request const& request, std::string_view outcome,
                 std::string_view reason);
    void look(service_id const& service, service_state& state);
    void look_at_all();
    void schedule_look();
    void apply(std::vector<limits::queue_action> const& actions,
               service_state const& state, placement::service_room const& room);
    void refuse(routed_request const& request, std::string_view reason,
                std::chrono::milliseconds retry_after);
    void log_change(service_id const& service, service_state const& state,
                    placement::service_room const& room, bool before);

    exchange_dependencies const& dependencies_;
    std::function<double(service_id const&, time_point)> share_;
    placement::service_admission_options options_;
    std::function<time_point()> clock_;
    std::map<service_id, service_state> services_;
    std::map<std::uint64_t, routed_request> held_;
    std::uint64_t next_id_ = 1;
    bool active_ = false;
    bool look_posted_ = false;
    bool look_scheduled_ = false;
    net::one_shot_timer timer_;
    /// Ends with this object; a posted look holds a weak reference.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace yuccabeam::gateway
