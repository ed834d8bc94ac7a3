#include "yuccabeam/gateway/counters.hpp"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <utility>
#include <vector>

namespace yuccabeam::gateway {

namespace {

// In seconds. The range covers responses from a target's cache up to the
// longest timeouts in use.
prometheus::Histogram::BucketBoundaries const latency_bounds = {
    0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16};

std::string text_of(std::string_view text) {
    return std::string(text);
}

} // namespace

struct counters::implementation {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests =
        prometheus::BuildCounter()
            .Name("yuccabeam_requests_total")
            .Help("Requests by class and outcome")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& latency =
        prometheus::BuildHistogram()
            .Name("yuccabeam_request_seconds")
            .Help("Time from a request's first byte to its answer")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& attempts =
        prometheus::BuildCounter()
            .Name("yuccabeam_attempts_total")
            .Help("Attempts at targets by outcome")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& not_retried =
        prometheus::BuildCounter()
            .Name("yuccabeam_attempts_not_repeated_total")
            .Help("Failed attempts by what was missing for another one")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& attempt_latency =
        prometheus::BuildHistogram()
            .Name("yuccabeam_attempt_seconds")
            .Help("Time of one attempt at a target")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& in_flight =
        prometheus::BuildGauge()
            .Name("yuccabeam_target_in_flight")
            .Help("Requests of this daemon at the target")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& suspected =
        prometheus::BuildGauge()
            .Name("yuccabeam_target_suspected")
            .Help("1 while this daemon suspects the target")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& service_targets =
        prometheus::BuildGauge()
            .Name("yuccabeam_service_targets")
            .Help("Targets of the service by state, as this daemon knows them")
            .Register(registry);
    prometheus::Histogram& loop_delay =
        prometheus::BuildHistogram()
            .Name("yuccabeam_loop_late_seconds")
            .Help("Delay of the event loop's ticker")
            .Register(registry)
            .Add({}, latency_bounds);
    std::map<std::string, prometheus::Counter*> plain;
    std::map<std::string, prometheus::Gauge*> gauges;
    std::vector<std::pair<prometheus::Gauge*, prometheus::Gauge*>> targets;
};

counters::counters() : self_(std::make_unique<implementation>()) {}

counters::~counters() = default;

void counters::on_request(std::string_view service, std::string_view kind,
                          std::string_view outcome, double seconds) {
    self_->requests
        .Add({{"service", text_of(service)},
              {"kind", text_of(kind)},
              {"outcome", text_of(outcome)}})
        .Increment();
    self_->latency
        .Add({{"service", text_of(service)}, {"kind", text_of(kind)}},
             latency_bounds)
        .Observe(seconds);
}

void counters::on_attempt(std::string_view service, std::string_view outcome,
                          double seconds) {
    self_->attempts
        .Add({{"service", text_of(service)}, {"outcome", text_of(outcome)}})
        .Increment();
    self_->attempt_latency.Add({{"service", text_of(service)}}, latency_bounds)
        .Observe(seconds);
}

void counters::on_attempt_not_retried(std::string_view service,
                                      std::string_view missing) {
    self_->not_retried
        .Add({{"service", text_of(service)}, {"missing", text_of(missing)}})
        .Increment();
}

void counters::on_loop_delay(double seconds) {
    self_->loop_delay.Observe(seconds);
}

void counters::count(std::string const& name, double amount) {
    auto& counter = self_->plain[name];
    if (!counter)
        counter = &prometheus::BuildCounter()
                       .Name("yuccabeam_" + name + "_total")
                       .Register(self_->registry)
                       .Add({});
    counter->Increment(amount);
}

void counters::set(std::string const& name, double value) {
    auto& gauge = self_->gauges[name];
    if (!gauge)
        gauge = &prometheus::BuildGauge()
                     .Name("yuccabeam_" + name)
                     .Register(self_->registry)
                     .Add({});
    gauge->Set(value);
}

void counters::set_target(std::string_view target, std::string_view service,
                          double in_flight, bool suspected) {
    prometheus::Labels const labels = {{"target", text_of(target)},
                                       {"service", text_of(service)}};
    auto& load = self_->in_flight.Add(labels);
    auto& suspicion = self_->suspected.Add(labels);
    load.Set(in_flight);
    suspicion.Set(suspected ? 1 : 0);
    self_->targets.emplace_back(&load, &suspicion);
}

void counters::set_service_targets(std::string_view service,
                                   std::string_view state, double count) {
    self_->service_targets
        .Add({{"service", text_of(service)}, {"state", text_of(state)}})
        .Set(count);
}

void counters::clear_targets() {
    for (auto const& [load, suspicion] : self_->targets) {
        self_->in_flight.Remove(load);
        self_->suspected.Remove(suspicion);
    }
    self_->targets.clear();
}

std::string counters::text() const {
    return prometheus::TextSerializer().Serialize(self_->registry.Collect());
}

} // namespace yuccabeam::gateway
