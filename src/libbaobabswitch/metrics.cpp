#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace baobabswitch {

struct node_metrics::impl {
    explicit impl(const invariant_table& counts) : invariants(counts) {}
    const invariant_table& invariants;
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& calls = prometheus::BuildCounter()
                                                         .Name("baobabswitch_calls_total")
                                                         .Help("Calls that entered here, by kind and outcome")
                                                         .Register(registry);
    prometheus::Family<prometheus::Histogram>& seconds = prometheus::BuildHistogram()
                                                             .Name("baobabswitch_call_seconds")
                                                             .Help("Time from arrival to answer")
                                                             .Register(registry);
    prometheus::Family<prometheus::Counter>& events = prometheus::BuildCounter()
                                                          .Name("baobabswitch_events_total")
                                                          .Help("Decisions and input errors, by name")
                                                          .Register(registry);
    prometheus::Family<prometheus::Gauge>& gauges = prometheus::BuildGauge()
                                                        .Name("baobabswitch_state")
                                                        .Help("Current values, by name")
                                                        .Register(registry);
    prometheus::Family<prometheus::Gauge>& checks = prometheus::BuildGauge()
                                                        .Name("baobabswitch_invariant_checks")
                                                        .Help("How often each invariant was checked")
                                                        .Register(registry);
    prometheus::Family<prometheus::Gauge>& violations = prometheus::BuildGauge()
                                                            .Name("baobabswitch_invariant_violations")
                                                            .Help("How often each invariant was violated")
                                                            .Register(registry);
    prometheus::Counter& control_bytes = prometheus::BuildCounter()
                                             .Name("baobabswitch_control_bytes_total")
                                             .Help("Bytes of control messages sent")
                                             .Register(registry)
                                             .Add({});
};

node_metrics::node_metrics(const invariant_table& invariants) : impl_(std::make_unique<impl>(invariants)) {}

node_metrics::~node_metrics() = default;

void node_metrics::count_call(std::string_view kind, outcome_kind outcome, std::string_view cause,
                              double seconds) {
    static const prometheus::Histogram::BucketBoundaries bounds{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                                                0.2,   0.5,   1,     2,    5,    10};
    impl_->calls
        .Add({{"kind", std::string{kind}},
              {"outcome", std::string{outcome_name(outcome)}},
              {"cause", std::string{cause}}})
        .Increment();
    impl_->seconds.Add({{"kind", std::string{kind}}}, bounds).Observe(seconds);
}

void node_metrics::count_event(std::string_view event) {
    impl_->events.Add({{"event", std::string{event}}}).Increment();
}

void node_metrics::count_control_bytes(std::size_t n) {
    impl_->control_bytes.Increment(static_cast<double>(n));
}

void node_metrics::set_gauge(std::string_view name, double value) {
    impl_->gauges.Add({{"name", std::string{name}}}).Set(value);
}

std::string node_metrics::render() const {
    for (std::size_t n = 0; n < invariant_count; ++n) {
        const std::string name{invariant_name(static_cast<invariant>(n))};
        impl_->checks.Add({{"invariant", name}})
            .Set(static_cast<double>(impl_->invariants.checked.at(n).load()));
        impl_->violations.Add({{"invariant", name}})
            .Set(static_cast<double>(impl_->invariants.violated.at(n).load()));
    }
    return prometheus::TextSerializer{}.Serialize(impl_->registry.Collect());
}

} // namespace baobabswitch
