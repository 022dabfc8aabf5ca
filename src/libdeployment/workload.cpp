#include "workload.h"

#include "files.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

workload_kind read_kind(const json& value) {
    workload_kind kind;
    value.at("service").get_to(kind.service);
    value.at("importance").get_to(kind.importance);
    value.at("timeout_ms").get_to(kind.timeout_ms);
    value.at("patience_ms").get_to(kind.patience_ms);
    value.at("idempotent").get_to(kind.idempotent);
    value.at("service_ms").get_to(kind.service_ms);
    value.at("share").get_to(kind.share);
    value.at("children").get_to(kind.children);
    return kind;
}

/// Adds the slot time that calls of a kind, including child calls, take at each service, in milliseconds.
void add_slot_time(const workload& load, const std::string& kind, double calls,
                   std::map<std::string, double>& per_service) {
    const auto& it = load.kinds.at(kind);
    per_service[it.service] += calls * slot_time_ms(load, kind);
    for (const auto& child : it.children) {
        add_slot_time(load, child, calls, per_service);
    }
}

} // namespace

result<workload> load_workload(const std::string& file_name) {
    const auto text = read_file(file_name);
    if (!text) {
        return text.error();
    }
    try {
        const auto root = json::parse(text.value());
        workload load;
        root.at("name").get_to(load.name);
        root.at("domains").get_to(load.domains);
        root.at("domain_latency_ms").get_to(load.domain_latency_ms);
        root.at("client_latency_ms").get_to(load.client_latency_ms);
        load.slow_service = root.value("slow_service", "");
        for (const auto& [name, value] : root.at("services").items()) {
            load.services[name] = {value.at("servers"), value.at("slots"), value.at("connections")};
        }
        for (const auto& [name, value] : root.at("kinds").items()) {
            load.kinds[name] = read_kind(value);
        }
        return load;
    } catch (const json::exception& ex) {
        return error{error_kind::bad_document, file_name + " is malformed: " + ex.what(),
                     "compare it with workloads/vodnik.json"};
    }
}

void scale_down(workload& load, double factor) {
    for (auto& [name, it] : load.services) {
        it.slots = std::max(2, static_cast<int>(std::lround(it.slots / factor)));
        it.connections = std::max(8, static_cast<int>(std::lround(it.connections / factor)));
    }
}

double slot_time_ms(const workload& load, std::string_view kind) {
    const auto& it = load.kinds.at(std::string{kind});
    double sum = it.service_ms;
    for (const auto& child : it.children) {
        sum += slot_time_ms(load, child);
    }
    return sum;
}

double capacity_per_second(const workload& load) {
    double shares = 0;
    std::map<std::string, double> per_service;
    for (const auto& [name, it] : load.kinds) {
        shares += it.share;
        add_slot_time(load, name, it.share, per_service);
    }
    double capacity = 0;
    for (const auto& [name, slot_ms] : per_service) {
        const auto& service = load.services.at(name);
        const double slots = static_cast<double>(service.slots) * service.servers;
        const double rate = slots * 1000 * shares / slot_ms;
        capacity = capacity == 0 ? rate : std::min(capacity, rate);
    }
    return capacity;
}

std::string make_document(const workload& load, std::string_view policy_mode) {
    json document{{"schema", 1}, {"policy", {{"mode", policy_mode}}}};
    for (const auto& [name, it] : load.services) {
        document["services"][name] = {
            {"slots", it.slots}, {"connections", it.connections}, {"queue", it.slots * 2}};
    }
    for (const auto& [name, it] : load.kinds) {
        document["kinds"][name] = {{"service", it.service},       {"importance", it.importance},
                                   {"timeout_ms", it.timeout_ms}, {"patience_ms", it.patience_ms},
                                   {"idempotent", it.idempotent}, {"cancellable", it.idempotent}};
    }
    return document.dump(2);
}

} // namespace baobabswitch
