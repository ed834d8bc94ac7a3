#include "yuccabeam/adapters/metrics.hpp"

#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <unordered_map>

namespace yuccabeam::adapters {

namespace {

using seconds_buckets = prometheus::Histogram::BucketBoundaries;

seconds_buckets const latency_buckets = {0.001, 0.0025, 0.005, 0.01, 0.025,
                                         0.05,  0.1,    0.25,  0.5,  1,
                                         2.5,   5,      10,    30,   120};

constexpr std::size_t max_accounts = 64;

// The label of an account: its name while it is among the most active ones.
// A new account replaces the one with the lowest count and inherits it
// (space-saving; Metwally, Agrawal and El Abbadi 2005).
class account_labels {
public:
    // Returns the label, and the label to drop from the registry if any.
    std::pair<std::string, std::string> label(std::string_view account) {
        std::string name(account);
        auto const found = counts_.find(name);
        if (found != counts_.end()) {
            ++found->second;
            return {name, ""};
        }
        if (counts_.size() < max_accounts) {
            counts_[name] = 1;
            return {name, ""};
        }
        return {"other", challenge(name)};
    }

private:
    // A newcomer takes the place of the least active account only after it
    // has been seen as often, so that one-time accounts don't churn labels.
    std::string challenge(std::string const& name) {
        auto const least = std::min_element(
            counts_.begin(), counts_.end(),
            [](auto const& a, auto const& b) { return a.second < b.second; });
        if (challengers_.size() >= max_accounts)
            challengers_.clear();
        if (++challengers_[name] <= least->second)
            return "";
        std::string dropped = least->first;
        counts_[name] = challengers_[name];
        counts_.erase(least);
        challengers_.erase(name);
        return dropped;
    }

    std::unordered_map<std::string, std::uint64_t> counts_;
    std::unordered_map<std::string, std::uint64_t> challengers_;
};

} // namespace

struct metrics::implementation {
    std::shared_ptr<prometheus::Registry> registry =
        std::make_shared<prometheus::Registry>();
    std::unique_ptr<prometheus::Exposer> exposer;

    prometheus::Family<prometheus::Counter>& requests =
        prometheus::BuildCounter()
            .Name("yuccabeam_requests_total")
            .Help("Requests by class and outcome")
            .Register(*registry);
    prometheus::Family<prometheus::Counter>& attempts =
        prometheus::BuildCounter()
            .Name("yuccabeam_attempts_total")
            .Help("Attempts at targets by outcome")
            .Register(*registry);
    prometheus::Family<prometheus::Histogram>& class_seconds =
        prometheus::BuildHistogram()
            .Name("yuccabeam_class_seconds")
            .Help("Time from arrival to the end of the answer, by class")
            .Register(*registry);
    prometheus::Family<prometheus::Histogram>& account_seconds =
        prometheus::BuildHistogram()
            .Name("yuccabeam_account_seconds")
            .Help("Time from arrival to the end of the answer, by account")
            .Register(*registry);

    std::mutex accounts_mutex;
    account_labels accounts;
    std::map<std::string, prometheus::Histogram*> account_series;

    std::mutex others_mutex;
    std::map<std::string, prometheus::Counter*, std::less<>> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge>*, std::less<>>
        gauges;

    void observe_account(std::string_view account, double seconds) {
        std::lock_guard lock(accounts_mutex);
        auto const [label, dropped] = accounts.label(account);
        if (!dropped.empty()) {
            account_seconds.Remove(account_series[dropped]);
            account_series.erase(dropped);
        }
        auto& series = account_series[label];
        if (!series)
            series =
                &account_seconds.Add({{"account", label}}, latency_buckets);
        series->Observe(seconds);
    }
};

metrics::metrics() : self_(std::make_unique<implementation>()) {}
metrics::~metrics() = default;

result<void> metrics::serve(std::string const& address) {
    try {
        self_->exposer = std::make_unique<prometheus::Exposer>(address, 1);
    } catch (std::exception const& error) {
        return make_fault(fault_code::unreachable, "cannot serve metrics on " +
                                                       address + ": " +
                                                       error.what());
    }
    self_->exposer->RegisterCollectable(self_->registry);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void metrics::on_request(request_sample const& sample) {
    std::string const service(sample.service);
    std::string const kind(sample.kind);
    self_->requests
        .Add({{"service", service},
              {"kind", kind},
              {"outcome", std::string(sample.outcome)}})
        .Increment();
    self_->class_seconds
        .Add({{"service", service}, {"kind", kind}}, latency_buckets)
        .Observe(sample.seconds);
    self_->observe_account(sample.account, sample.seconds);
}

void metrics::on_attempt(std::string_view service, std::string_view outcome) {
    self_->attempts
        .Add({{"service", std::string(service)},
              {"outcome", std::string(outcome)}})
        .Increment();
}

void metrics::count(std::string_view name, double amount) {
    std::lock_guard lock(self_->others_mutex);
    auto& counter = self_->counters[std::string(name)];
    if (!counter)
        counter = &prometheus::BuildCounter()
                       .Name(std::string(name))
                       .Register(*self_->registry)
                       .Add({});
    counter->Increment(amount);
}

void metrics::set(std::string_view name, std::string_view label, double value) {
    std::lock_guard lock(self_->others_mutex);
    auto& family = self_->gauges[std::string(name)];
    if (!family)
        family = &prometheus::BuildGauge()
                      .Name(std::string(name))
                      .Register(*self_->registry);
    family->Add({{"id", std::string(label)}}).Set(value);
}

} // namespace yuccabeam::adapters
