#include "meshmetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <unordered_map>

namespace baobabswitch {

namespace {

const prometheus::Histogram::BucketBoundaries latency_buckets{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                              0.2,   0.5,   1,     2,    5,    10};

} // namespace

struct mesh_metrics::impl {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& requests =
        prometheus::BuildCounter()
            .Name("baobabswitch_requests_total")
            .Help("Requests that began here, by route, status and reason")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& request_seconds =
        prometheus::BuildHistogram()
            .Name("baobabswitch_request_seconds")
            .Help("Time from arrival to answer, by route")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& runs =
        prometheus::BuildCounter()
            .Name("baobabswitch_runs_total")
            .Help("Calls at the local target, by outcome and reason")
            .Register(registry);
    prometheus::Family<prometheus::Histogram>& stage_seconds =
        prometheus::BuildHistogram()
            .Name("baobabswitch_run_seconds")
            .Help("Time of a call beside and in the local target, by stage")
            .Register(registry);
    prometheus::Family<prometheus::Counter>& events = prometheus::BuildCounter()
                                                          .Name("baobabswitch_events_total")
                                                          .Help("Decisions and input errors, by name")
                                                          .Register(registry);
    prometheus::Family<prometheus::Counter>& store_calls =
        prometheus::BuildCounter()
            .Name("baobabswitch_store_calls_total")
            .Help("Calls to the platform's store, by purpose and result")
            .Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges = prometheus::BuildGauge()
                                                        .Name("baobabswitch_state")
                                                        .Help("Current values, by name")
                                                        .Register(registry);
    prometheus::Histogram& wait = stage_seconds.Add({{"stage", "queue"}}, latency_buckets);
    prometheus::Histogram& service = stage_seconds.Add({{"stage", "target"}}, latency_buckets);
    /// Caches, since Family::Add() formats the labels on each call. There are few label combinations.
    std::unordered_map<std::string, prometheus::Counter*> request_counters;
    std::unordered_map<std::string, prometheus::Histogram*> request_histograms;
    std::unordered_map<std::string, prometheus::Counter*> run_counters;
};

mesh_metrics::mesh_metrics() : impl_(std::make_unique<impl>()) {}

mesh_metrics::~mesh_metrics() = default;

void mesh_metrics::count_request(std::string_view route, unsigned status, std::string_view reason,
                                 double seconds) {
    const std::string name{route};
    auto& counter = impl_->request_counters[name + ' ' + std::to_string(status) + ' ' + std::string{reason}];
    if (counter == nullptr) {
        counter = &impl_->requests.Add(
            {{"route", name}, {"status", std::to_string(status)}, {"reason", std::string{reason}}});
    }
    counter->Increment();
    auto& histogram = impl_->request_histograms[name];
    if (histogram == nullptr) {
        histogram = &impl_->request_seconds.Add({{"route", name}}, latency_buckets);
    }
    histogram->Observe(seconds);
}

void mesh_metrics::count_run(std::string_view outcome, std::string_view reason, double wait_seconds,
                             double service_seconds) {
    auto& counter = impl_->run_counters[std::string{outcome} + ' ' + std::string{reason}];
    if (counter == nullptr) {
        counter = &impl_->runs.Add({{"outcome", std::string{outcome}}, {"reason", std::string{reason}}});
    }
    counter->Increment();
    impl_->wait.Observe(wait_seconds);
    impl_->service.Observe(service_seconds);
}

void mesh_metrics::count_event(std::string_view event) {
    impl_->events.Add({{"event", std::string{event}}}).Increment();
}

void mesh_metrics::count_store_call(std::string_view purpose, std::string_view result) {
    impl_->store_calls.Add({{"purpose", std::string{purpose}}, {"result", std::string{result}}}).Increment();
}

void mesh_metrics::set_gauge(std::string_view name, double value) {
    impl_->gauges.Add({{"name", std::string{name}}}).Set(value);
}

std::string mesh_metrics::render() const {
    return prometheus::TextSerializer{}.Serialize(impl_->registry.Collect());
}

} // namespace baobabswitch
