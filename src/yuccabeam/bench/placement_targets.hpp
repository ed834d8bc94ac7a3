#pragma once

#include "placement_world.hpp"

#include "yuccabeam/values/virtual_time.hpp"

/// The targets of the placement model: their queues, work and failures.
namespace yuccabeam::bench {

/// A request of the model; `dispatch` decides its way.
struct model_request {
    std::size_t daemon = 0;
    bool idempotent = false;
    time_point arrived{};
    duration work{};
    bool has_error = false; ///< fails wherever it runs
    bool counted = false;
    bool check = false;            ///< an operator's, with little time
    bool in_window = false;        ///< sent in the measured window
    std::uint32_t arrivals = 0;    ///< at targets
    std::shared_ptr<void> process; ///< of the daemon that took it
    std::optional<time_point> check_planned;
    std::unique_ptr<placement::request_dispatch> dispatch;
};

/// One attempt on its way to a target or there.
struct model_job {
    std::shared_ptr<model_request> from;
    std::size_t attempt = 0;
    bool cancelled = false;
    bool running = false;
};

using job_ptr = std::shared_ptr<model_job>;

/// What a target answers, and to whom; called at the target, so that the way
/// back is the caller's.
using job_ended = std::function<void(std::size_t, job_ptr const&,
                                     placement::attempt_outcome)>;

class model_targets {
public:
    model_targets(placement_scenario const& scenario, virtual_time& time,
                  std::mt19937_64& random, job_ended ended);

    /// Plans all turns, troubles and losses of the scenario.
    void start();

    /// Empty for a target that takes connections.
    std::optional<loss_kind> lost(std::size_t target) const;
    void arrive(std::size_t target, job_ptr const& work);
    void cancel(std::size_t target, job_ptr const& work);

    std::size_t domain(std::size_t target) const;
    /// Targets whose entries are in the store.
    std::vector<discovered_target> listed() const;

    /// Counts the targets that were healthy for the whole of the scenario's
    /// usage window up to now, and of these the ones that got a request in it.
    struct healthy_usage {
        std::size_t healthy = 0;
        std::size_t used = 0;
    };
    healthy_usage usage() const;

    std::uint64_t resets() const { return resets_; }
    double longest_queue() const { return longest_queue_; }

private:
    struct server {
        std::size_t domain = 0;
        bool failing = false;
        target_trouble trouble = target_trouble::none;
        double trouble_share = 0;
        double slow_factor = 1;
        std::size_t busy = 0;
        std::deque<job_ptr> queue = {};
        std::vector<job_ptr> running = {};
        std::optional<loss_kind> lost = {};
        time_point lost_at{};
        time_point last_arrival{};
        time_point healthy_from{};
    };

    bool happens(double probability);
    bool resets_request(server const& at);
    void turn(std::size_t target);
    void plan(trouble_period const& period);
    void lose(target_loss const& loss);
    void begin(std::size_t target, job_ptr const& work);
    void end(std::size_t target, job_ptr const& work);
    void release(std::size_t target, job_ptr const& work);
    duration work_time(std::size_t target, model_job const& work) const;

    placement_scenario const& scenario_;
    virtual_time& time_;
    std::mt19937_64& random_;
    job_ended ended_;
    std::vector<server> servers_;
    std::uint64_t resets_ = 0;
    double longest_queue_ = 0;
};

/// Name of a failure domain of the model.
std::string domain_name(std::size_t domain);

/// The service that all of the model's targets belong to.
service_id const& model_service();

} // namespace yuccabeam::bench
