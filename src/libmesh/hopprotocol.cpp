#include "hopprotocol.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace baobabswitch {

namespace {

using nlohmann::json;

error malformed(std::string_view what) {
    return {error_kind::malformed, "the hop data are malformed: " + std::string{what},
            "run the same version of the program on all nodes"};
}

std::string_view outcome_text(hop_outcome it) {
    switch (it) {
    case hop_outcome::answered:
        return "answered";
    case hop_outcome::not_run:
        return "not-run";
    case hop_outcome::unknown:
        break;
    }
    return "unknown";
}

double rounded(double it) {
    return std::round(it * 100) / 100;
}

} // namespace

std::string encode_hop_info(const hop_info& info) {
    const json it{{"caller", info.caller_service},
                  {"service", info.service},
                  {"route", info.route},
                  {"left", rounded(to_ms(info.time_left))},
                  {"objective", to_ms(info.latency_objective)},
                  {"position", info.priority},
                  {"idempotent", info.idempotent},
                  {"nested", info.nested},
                  {"repeat", info.is_retry},
                  {"version", info.config_version}};
    return it.dump();
}

result<hop_info> decode_hop_info(std::string_view text) {
    try {
        const auto it = json::parse(text);
        hop_info info;
        it.at("caller").get_to(info.caller_service);
        it.at("service").get_to(info.service);
        it.at("route").get_to(info.route);
        info.time_left = from_ms(it.at("left").get<double>());
        info.latency_objective = from_ms(it.at("objective").get<double>());
        it.at("position").get_to(info.priority);
        it.at("idempotent").get_to(info.idempotent);
        it.at("nested").get_to(info.nested);
        it.at("repeat").get_to(info.is_retry);
        it.at("version").get_to(info.config_version);
        return info;
    } catch (const json::exception& ex) {
        return malformed(ex.what());
    }
}

std::string encode_hop_result(const hop_result& result, boot_time_point now) {
    json it{{"outcome", outcome_text(result.outcome)},
            {"load",
             {result.load.running, result.load.waiting, result.load.capacity, rounded(result.load.slowness)}},
            {"version", result.config_version}};
    if (!result.reason.empty()) {
        it["reason"] = result.reason;
    }
    if (!result.accepting) {
        it["accepting"] = false;
    }
    if (result.reached_target) {
        it["reached"] = true;
    }
    for (const auto& [service, ms] : result.costs) {
        it["costs"][service] = rounded(ms);
    }
    for (const auto& [service, level] : result.levels) {
        it["levels"][service] = {rounded(level.level), rounded(to_ms(now - level.at))};
    }
    return it.dump();
}

result<hop_result> decode_hop_result(std::string_view text, boot_time_point now) {
    try {
        const auto it = json::parse(text);
        hop_result result;
        const auto outcome = it.at("outcome").get<std::string>();
        if (outcome == outcome_text(hop_outcome::answered)) {
            result.outcome = hop_outcome::answered;
        } else if (outcome == outcome_text(hop_outcome::not_run)) {
            result.outcome = hop_outcome::not_run;
        }
        const auto& load = it.at("load");
        result.load = {load.at(0).get<double>(), load.at(1).get<double>(), load.at(2).get<double>(),
                       load.at(3).get<double>()};
        it.at("version").get_to(result.config_version);
        result.reason = it.value("reason", std::string{});
        result.accepting = it.value("accepting", true);
        result.reached_target = it.value("reached", false);
        if (it.contains("costs")) {
            for (const auto& [service, ms] : it.at("costs").items()) {
                result.costs[service] = ms.get<double>();
            }
        }
        if (it.contains("levels")) {
            for (const auto& [service, pair] : it.at("levels").items()) {
                result.levels[service] = {pair.at(0).get<double>(), now - from_ms(pair.at(1).get<double>())};
            }
        }
        return result;
    } catch (const json::exception& ex) {
        return malformed(ex.what());
    }
}

} // namespace baobabswitch
