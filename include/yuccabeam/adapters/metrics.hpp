#pragma once

#include "yuccabeam/values/fault.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace yuccabeam::adapters {

struct request_sample {
    std::string_view service;
    std::string_view kind; ///< route id
    std::string_view account;
    std::string_view outcome; ///< `answered`, `not-run`, `unknown`, `broken`
    double seconds = 0;       ///< from arrival to the end of the answer
};

/// Counters and histograms, served in Prometheus text form.
///
/// Histograms are kept for each class (service and kind) and for each of the
/// 64 most active accounts; all other accounts share the label
/// `other`, so that the number of time series stays bounded.
class metrics {
public:
    metrics();
    ~metrics();
    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// Serves `/metrics` at `IP:port`.
    result<void> serve(std::string const& address);

    void on_request(request_sample const& sample);
    void on_attempt(std::string_view service, std::string_view outcome);

    /// Adds to a counter without further labels.
    void count(std::string_view name, double amount = 1);
    /// Sets a gauge with one label.
    void set(std::string_view name, std::string_view label, double value);

private:
    struct implementation;
    std::unique_ptr<implementation> self_;
};

} // namespace yuccabeam::adapters
