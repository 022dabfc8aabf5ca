#include "localtargetwatch.h"

#include "localruns.h"

#include <nlohmann/json.hpp>

namespace baobabswitch {

namespace {

constexpr milliseconds health_timeout{400};
constexpr milliseconds health_interval{500};
/// Time to wait for the stored entry before a target is verified without it.
constexpr milliseconds store_read_timeout{1500};
/// Number of announcements after which an incarnation counts as running even if its health check fails. A
/// delayed announcement of a dead target is seldom followed by more; see also may_be_outdated().
constexpr unsigned announcements_to_verify = 3;
/// Initial slowness of a target that is still warming up.
constexpr double warmup_slowness = 1.5;

std::string health_path(const mesh_state& state) {
    if (state.config) {
        for (const auto& it : state.config->config.services) {
            if (it.name == state.settings.service) {
                return it.health_path;
            }
        }
    }
    return {};
}

void log_target_event(mesh_state& state, std::string_view event, const target_announcement& it) {
    state.log.write_always(event, {{"instance", it.instance},
                                   {"started_ms", it.started_ms},
                                   {"sequence", it.sequence},
                                   {"slots", it.slots},
                                   {"verified", state.target.verified}});
}

void add_departed(local_target& target, const target_announcement& it) {
    target.departed.insert(incarnation_name(it));
    target.newest_departed_ms = std::max(target.newest_departed_ms, it.started_ms);
}

/// Returns whether an incarnation started no later than one that left, so that its announcements may have
/// been delayed.
bool may_be_outdated(const local_target& target) {
    return !target.departed.empty() && target.current->started_ms <= target.newest_departed_ms;
}

announcement_effect apply_leaving(mesh_state& state, const target_announcement& it) {
    auto& target = state.target;
    const bool current = target.current && target.current->instance == it.instance;
    // A withdrawal contains only the instance id, so it applies to the known incarnation with that id.
    add_departed(target, it.withdrawn && current ? *target.current : it);
    if (!current && target.current) {
        return announcement_effect::none;
    }
    if (!target.current) {
        target.current = it;
        target.current->service = state.settings.service;
    }
    if (target.leaving) {
        return announcement_effect::none;
    }
    target.leaving = true;
    log_target_event(state, "target-leaving", *target.current);
    refuse_queued_runs(state, "target-leaving");
    return announcement_effect::leaving;
}

} // namespace

announcement_effect apply_announcement(mesh_state& state, const target_announcement& it) {
    auto& target = state.target;
    if (it.withdrawn) {
        return apply_leaving(state, it);
    }
    const bool known = target.current && incarnation_name(*target.current) == incarnation_name(it);
    if (target.departed.contains(incarnation_name(it))) {
        return announcement_effect::none;
    }
    if (known && it.sequence <= target.current->sequence) {
        return announcement_effect::none;
    }
    if (!known && target.current && it.started_ms < target.current->started_ms) {
        return announcement_effect::none;
    }
    if (it.leaving) {
        if (!known) {
            target.current = it;
        }
        return apply_leaving(state, it);
    }
    if (known) {
        ++target.announcements;
        const bool changed = target.current->slots != it.slots;
        target.current = it;
        state.limiter.slots = it.slots;
        if (!target.reachable) {
            target.reachable = true;
            log_target_event(state, "target-regained", it);
            return announcement_effect::changed;
        }
        return changed ? announcement_effect::changed : announcement_effect::none;
    }
    target.current = it;
    target.leaving = false;
    target.reachable = true;
    // On the first start of the system there is no earlier incarnation whose announcement could be delayed.
    target.verified = state.settings.first_start && target.departed.empty();
    target.announcements = 1;
    target.announced_at = boot_clock::now();
    target.next_health_check = {};
    state.limiter.slots = it.slots;
    state.limiter.slowness = it.warmup_left > boot_duration::zero() ? warmup_slowness : 1;
    log_target_event(state, "target-started", it);
    return announcement_effect::started;
}

void apply_health_response(mesh_state& state, const http_result& answer) {
    auto& target = state.target;
    const auto* response = std::get_if<http_response>(&answer);
    if (!target.current || target.verified) {
        return;
    }
    const bool healthy = response != nullptr && response->status == 200;
    const auto instance =
        response == nullptr ? "" : header_or_empty(response->headers, state.port.headers.instance_id);
    target.verified = healthy && instance == target.current->instance;
    state.log.write("target-verified", {{"instance", target.current->instance},
                                        {"answered_by", instance},
                                        {"healthy", healthy},
                                        {"verified", target.verified}});
}

void restore_target(mesh_state& state, const target_entry& stored) {
    if (state.target.current || stored.leaving || stored.instance.empty() || state.settings.first_start) {
        return;
    }
    target_announcement it;
    it.instance = stored.instance;
    it.service = stored.service;
    it.domain = stored.domain;
    it.address = state.settings.target;
    it.started_ms = stored.started_ms;
    it.slots = stored.slots;
    if (stored.service == state.settings.service) {
        (void)apply_announcement(state, it);
    }
}

void record_departed(mesh_state& state, const target_entry& stored) {
    auto& target = state.target;
    target_announcement it;
    it.instance = stored.instance;
    it.started_ms = stored.started_ms;
    add_departed(target, it);
    if (target.current && !target.leaving && incarnation_name(*target.current) == incarnation_name(it)) {
        target.leaving = true;
        log_target_event(state, "target-leaving", *target.current);
        refuse_queued_runs(state, "target-leaving");
    }
}

void tick_verification(mesh_state& state, std::function<void()> on_verified) {
    auto& target = state.target;
    const auto now = boot_clock::now();
    if (!target.current || target.verified || target.leaving || now < target.next_health_check) {
        return;
    }
    if (!state.targets_known && now - target.announced_at < store_read_timeout) {
        return;
    }
    target.next_health_check = now + health_interval;
    if (target.announcements >= announcements_to_verify && !may_be_outdated(target)) {
        target.verified = true;
        log_target_event(state, "target-verified", *target.current);
        on_verified();
        return;
    }
    http_request request;
    request.target = health_path(state);
    if (request.target.empty()) {
        return;
    }
    state.target_client->send(state.settings.target, std::move(request), health_timeout,
                              [&state, on_verified = std::move(on_verified)](const http_result& answer) {
                                  apply_health_response(state, answer);
                                  if (state.target.verified) {
                                      on_verified();
                                  }
                              });
}

target_entry own_entry(const mesh_state& state) {
    target_entry it;
    it.node = state.settings.node;
    it.peer = state.settings.listen.inbound;
    it.domain = state.settings.domain;
    it.service = state.settings.service;
    if (state.target.current) {
        it.instance = state.target.current->instance;
        it.slots = state.target.current->slots;
        it.started_ms = state.target.current->started_ms;
        it.leaving = state.target.leaving;
        it.accepting = state.target.verified && !state.target.leaving && !state.withdrawing;
    }
    return it;
}

} // namespace baobabswitch
