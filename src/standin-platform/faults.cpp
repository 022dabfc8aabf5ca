#include "faults.h"

#include <nlohmann/json.hpp>

#include <array>
#include <string>
#include <utility>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

constexpr double max_value = 1e6;

constexpr std::array number_fields{
    std::pair{"latency_ms", &platform_faults::latency_ms},
    std::pair{"slow_ms", &platform_faults::slow_ms},
    std::pair{"unavailable_percent", &platform_faults::unavailable_percent},
    std::pair{"lost_answer_percent", &platform_faults::lost_answer_percent},
    std::pair{"lost_call_percent", &platform_faults::lost_call_percent},
    std::pair{"writes_per_second", &platform_faults::writes_per_second},
    std::pair{"reads_per_second", &platform_faults::reads_per_second},
    std::pair{"for_ms", &platform_faults::for_ms},
};

error bad_field(const std::string& name, std::string remedy) {
    return {error_kind::bad_document, "\"" + name + "\" is not valid", std::move(remedy)};
}

result<void> set_field(platform_faults& faults, const std::string& name, const json& value) {
    for (const auto& [known, field] : number_fields) {
        if (name == known) {
            if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > max_value) {
                return bad_field(name, "write a number from 0 to 1000000");
            }
            faults.*field = value.get<double>();
            return success();
        }
    }
    if (name == "seed") {
        if (!value.is_number_unsigned()) {
            return bad_field(name, "write a whole number");
        }
        faults.seed = value.get<std::uint64_t>();
        return success();
    }
    if (name == "outage") {
        if (value == "none") {
            faults.outage = outage_kind::none;
        } else if (value == "refuse") {
            faults.outage = outage_kind::refuse;
        } else if (value == "silent") {
            faults.outage = outage_kind::silent;
        } else {
            return bad_field(name, "write \"none\", \"refuse\" or \"silent\"");
        }
        return success();
    }
    return bad_field(name, "see man standin-platform for the fields");
}

} // namespace

result<platform_faults> change_faults(const platform_faults& faults, std::string_view text) {
    const auto object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        return error{error_kind::bad_document, "the body is not a JSON object",
                     "write {\"outage\": \"none\"}"};
    }
    auto changed = faults;
    changed.for_ms = 0; // for_ms applies only to the request that sets it.
    for (const auto& [name, value] : object.items()) {
        if (const auto done = set_field(changed, name, value); !done) {
            return done.error();
        }
    }
    return changed;
}

} // namespace baobabswitch
