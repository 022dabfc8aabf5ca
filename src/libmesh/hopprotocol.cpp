#include "hopprotocol.h"

#include "jsontext.h"

#include <cmath>

namespace baobabswitch {

namespace {

using nlohmann::json;

/// Bound on durations and loads in hop data, about one day in ms. Keeps sums of times from overflowing.
constexpr double max_duration_ms = 1e8;

result<void> read_ms(const json& object, std::string_view name, boot_duration& out) {
    double ms = 0;
    BOOST_OUTCOME_TRYV(read_field(object, name, ms, number_range<double>{-max_duration_ms, max_duration_ms}));
    out = from_ms(ms);
    return success();
}

/// Reads an array of `count` numbers.
result<std::vector<double>> read_numbers(const json& object, std::string_view name, std::size_t count) {
    BOOST_OUTCOME_TRY(values, read_array(object, name));
    std::vector<double> numbers;
    for (const auto& it : *values) {
        if (it.is_number() && std::abs(it.get<double>()) <= max_duration_ms) {
            numbers.push_back(it.get<double>());
        }
    }
    if (numbers.size() != count || values->size() != count) {
        return error{error_kind::malformed,
                     "the field \"" + std::string{name} + "\" is not a list of numbers",
                     "run the same version of the program on all nodes"};
    }
    return numbers;
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
    json it{{"node", info.node},
            {"caller", info.caller_service},
            {"service", info.service},
            {"route", info.route},
            {"left", rounded(to_ms(info.time_left))},
            {"objective", to_ms(info.latency_objective)},
            {"position", info.priority},
            {"idempotent", info.idempotent},
            {"nested", info.nested},
            {"repeat", info.is_retry},
            {"version", info.config_version}};
    if (info.watches_config) {
        it["watching"] = true;
    }
    return print_json(it);
}

result<hop_info> decode_hop_info(std::string_view text) {
    hop_info info;
    BOOST_OUTCOME_TRY(it, parse_json(text));
    BOOST_OUTCOME_TRYV(read_field(it, "caller", info.caller_service));
    BOOST_OUTCOME_TRYV(read_field(it, "service", info.service));
    BOOST_OUTCOME_TRYV(read_field(it, "route", info.route));
    BOOST_OUTCOME_TRYV(read_ms(it, "left", info.time_left));
    BOOST_OUTCOME_TRYV(read_ms(it, "objective", info.latency_objective));
    BOOST_OUTCOME_TRYV(read_field(it, "position", info.priority));
    BOOST_OUTCOME_TRYV(read_field(it, "idempotent", info.idempotent));
    BOOST_OUTCOME_TRYV(read_field(it, "nested", info.nested));
    BOOST_OUTCOME_TRYV(read_field(it, "repeat", info.is_retry));
    BOOST_OUTCOME_TRYV(read_field(it, "version", info.config_version));
    if (find_field(it, "node") != nullptr) {
        BOOST_OUTCOME_TRYV(read_field(it, "node", info.node));
    }
    if (find_field(it, "watching") != nullptr) {
        BOOST_OUTCOME_TRYV(read_field(it, "watching", info.watches_config));
    }
    return info;
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
    if (result.watches_config) {
        it["watching"] = true;
    }
    for (const auto& [service, ms] : result.costs) {
        it["costs"][service] = rounded(ms);
    }
    for (const auto& [service, level] : result.levels) {
        it["levels"][service] = {rounded(level.level), rounded(to_ms(now - level.at))};
    }
    return print_json(it);
}

result<hop_result> decode_hop_result(std::string_view text, boot_time_point now) {
    BOOST_OUTCOME_TRY(it, parse_json(text));
    hop_result result;
    result.from_peer = true;
    std::string outcome;
    BOOST_OUTCOME_TRYV(read_field(it, "outcome", outcome));
    if (outcome == outcome_text(hop_outcome::answered)) {
        result.outcome = hop_outcome::answered;
    } else if (outcome == outcome_text(hop_outcome::not_run)) {
        result.outcome = hop_outcome::not_run;
    }
    BOOST_OUTCOME_TRY(load, read_numbers(it, "load", 4));
    result.load = {load[0], load[1], load[2], load[3]};
    BOOST_OUTCOME_TRYV(read_field(it, "version", result.config_version));
    if (find_field(it, "reason") != nullptr) {
        BOOST_OUTCOME_TRYV(read_field(it, "reason", result.reason));
    }
    if (find_field(it, "accepting") != nullptr) {
        BOOST_OUTCOME_TRYV(read_field(it, "accepting", result.accepting));
    }
    if (find_field(it, "reached") != nullptr) {
        BOOST_OUTCOME_TRYV(read_field(it, "reached", result.reached_target));
    }
    if (find_field(it, "watching") != nullptr) {
        BOOST_OUTCOME_TRYV(read_field(it, "watching", result.watches_config));
    }
    if (find_field(it, "costs") != nullptr) {
        BOOST_OUTCOME_TRY(costs, read_object(it, "costs"));
        for (const auto& [service, ms] : costs->items()) {
            BOOST_OUTCOME_TRYV(
                read_field(*costs, service, result.costs[service], number_range<double>{0, max_duration_ms}));
        }
    }
    if (find_field(it, "levels") != nullptr) {
        BOOST_OUTCOME_TRY(levels, read_object(it, "levels"));
        for (const auto& [service, pair] : levels->items()) {
            BOOST_OUTCOME_TRY(numbers, read_numbers(*levels, service, 2));
            result.levels[service] = {numbers[0], now - from_ms(numbers[1])};
        }
    }
    return result;
}

} // namespace baobabswitch
