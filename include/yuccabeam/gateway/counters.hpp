#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace yuccabeam::gateway {

/// Counters, gauges and latency histograms in Prometheus form.
class counters {
public:
    counters();
    ~counters();
    counters(counters const&) = delete;
    counters& operator=(counters const&) = delete;

    /// Records a completed request of a class (service and kind).
    void on_request(std::string_view service, std::string_view kind,
                    std::string_view outcome, double seconds);
    /// Records a completed attempt at a target.
    void on_attempt(std::string_view service, std::string_view outcome,
                    double seconds);
    /// Records a failed attempt and the conditions for a retry that it did not
    /// meet, named by `missing`.
    void on_attempt_not_retried(std::string_view service,
                                std::string_view missing);
    /// Records how late the event loop's periodic timer fired.
    void on_loop_delay(double seconds);
    /// Adds to a counter without labels.
    void count(std::string const& name, double amount = 1);
    void set(std::string const& name, double value);
    void set_target(std::string_view target, std::string_view service,
                    double in_flight, bool suspected);
    /// Sets the number of a service's targets in one state.
    void set_service_targets(std::string_view service, std::string_view state,
                             double count);
    /// Removes the gauges of all targets.
    void clear_targets();

    /// All metrics in Prometheus text format.
    std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self_;
};

} // namespace yuccabeam::gateway
