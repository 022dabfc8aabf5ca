#include "targetswitches.h"

#include <nlohmann/json.hpp>

namespace baobabswitch {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(target_switches, slowdown, cold_start_ms, cold_factor, shed,
                                                misleading_load, ignore_cancel, freeze_ms)

result<void> apply_switches(target_switches& switches, std::string_view text) {
    const auto changes = nlohmann::json::parse(text, nullptr, false);
    nlohmann::json merged = switches;
    const auto known = merged.size();
    if (!changes.is_object()) {
        return error{error_kind::malformed, "the body is not a JSON object",
                     "send for example {\"slowdown\": 5}"};
    }
    merged.update(changes);
    if (merged.size() != known) {
        return error{error_kind::malformed, "the body names an unknown switch", "see targetswitches.h"};
    }
    try {
        switches = merged.get<target_switches>();
    } catch (const nlohmann::json::exception& ex) {
        return error{error_kind::malformed, ex.what(), "see targetswitches.h"};
    }
    return success();
}

} // namespace baobabswitch
