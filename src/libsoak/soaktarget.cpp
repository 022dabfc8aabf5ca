#include "soaktarget.h"

#include "standinformats.h"
#include "wallclock.h"

#include <cmath>

namespace baobabswitch {

namespace {

constexpr milliseconds announcement_timeout{1000};
constexpr milliseconds default_deadline{1000};

/// A request that a target executes.
struct request_execution {
    std::string id;
    std::shared_ptr<http_exchange> exchange;
    std::string instance; ///< the incarnation that executes it
    bool ended = false;
};

http_response signed_response(const target_context& context, const std::string& id) {
    const auto& names = context.port.headers;
    return {200, {{names.request_id, id}, {names.signature, "s-" + id}}, "answer of " + id};
}

void finish_execution(soak_target& it, request_execution& run) {
    if (!run.ended && run.instance == it.instance) {
        it.running.erase(run.id);
    }
    run.ended = true;
}

void finish_with_response(const target_context& context, soak_target& it, request_execution& run,
                          bool calls_succeeded) {
    if (run.ended) {
        return;
    }
    finish_execution(it, run);
    if (calls_succeeded) {
        run.exchange->respond(signed_response(context, run.id));
    } else {
        run.exchange->respond({500, {{context.port.headers.request_id, run.id}}, {}});
    }
}

/// Calls the service "back" as part of a request.
void call_downstream(const target_context& context, soak_target& it,
                     const std::shared_ptr<request_execution>& run, milliseconds left) {
    http_request request;
    request.target = "/back/x";
    // Each execution uses new ids for its calls, also if a request is executed again.
    const auto id = run->id + '.' + std::to_string(++it.calls);
    request.headers = caller_headers(context.port, id, left);
    record_sent(context.ledger, id, true, boot_clock::now());
    context.client.send(
        it.outbound, std::move(request), left, [&context, &it, run, id](const http_result& result) {
            const auto* answer = std::get_if<http_response>(&result);
            if (answer != nullptr) {
                record_answer(context.ledger, id, answer->status,
                              std::string{header_or_empty(answer->headers, context.port.headers.request_id)});
            }
            finish_with_response(context, it, *run, answer != nullptr && answer->status == 200);
        });
}

void check_admission(const target_context& context, soak_target& it, const std::string& id) {
    if (it.running.size() >= it.slots && boot_clock::now() > it.link_delayed_until) {
        std::string ages;
        for (const auto& [other, started] : it.running) {
            ages += ' ' + other + ':' + std::to_string(std::lround(to_ms(boot_clock::now() - started)));
        }
        context.ledger.violations.push_back("target " + it.instance + ": received " + id + " while all " +
                                            std::to_string(it.slots) +
                                            " slots were in use; id and age in ms:" + ages);
    }
    if (it.leave_acknowledged_at && boot_clock::now() - *it.leave_acknowledged_at > drain_time) {
        context.ledger.violations.push_back(
            "target " + it.instance + ": received " + id + " " +
            std::to_string(to_ms(boot_clock::now() - *it.leave_acknowledged_at)) +
            " ms after its node acknowledged that the target leaves");
    }
}

void handle_request(const target_context& context, soak_target& it, const http_request& request,
                    const std::shared_ptr<http_exchange>& exchange) {
    if (path_of(request.target) == soak_health_path) {
        const bool healthy = !it.leaving;
        exchange->respond({healthy ? 200U : 503U, {{context.port.headers.instance_id, it.instance}}, {}});
        return;
    }
    if (header_or_empty(request.headers, context.port.headers.target_instance) != it.instance) {
        exchange->respond({421, {{context.port.headers.instance_id, it.instance}}, {}});
        return;
    }
    const std::string id{header_or_empty(request.headers, context.port.headers.request_id)};
    check_admission(context, it, id);
    record_execution(context.ledger, id);
    it.running[id] = boot_clock::now();
    const auto run = std::make_shared<request_execution>(request_execution{id, exchange, it.instance, false});
    exchange->on_abandoned([&it, run] { finish_execution(it, *run); });
    const auto given = parse_number(header_or_empty(request.headers, context.port.headers.time_left_ms));
    const milliseconds left{given.value_or(default_deadline.count())};
    const auto service_time = it.service_time;
    const bool calls = it.service == "front" && request.method == "GET";
    context.loop.schedule(service_time, [&context, &it, run, calls, left, service_time] {
        if (run->ended || run->instance != it.instance) {
            return;
        }
        if (calls && left > service_time) {
            call_downstream(context, it, run, left - service_time);
        } else {
            finish_with_response(context, it, *run, true);
        }
    });
}

} // namespace

http_headers caller_headers(const platform_port& port, const std::string& id, milliseconds deadline) {
    return {{"Host", std::string{soak_caller_host}},
            {port.headers.request_id, id},
            {port.headers.time_left_ms, std::to_string(deadline.count())}};
}

result<void> open_target(const target_context& context, soak_target& it) {
    auto server = http_server::listen(
        context.loop, it.listen, {},
        [&context, &it](const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
            handle_request(context, it, request, exchange);
        });
    if (!server) {
        return server.error();
    }
    it.server = std::move(server.value());
    return success();
}

void start_target(soak_target& it) {
    it.instance = "i-" + it.address.host + "-" + std::to_string(++it.starts);
    it.started_ms = wall_clock_ms();
    it.sequence = 0;
    it.running.clear();
    it.leaving = false;
    it.leave_acknowledged_at.reset();
    it.up = true;
}

void crash_target(soak_target& it) {
    it.up = false;
    it.instance.clear();
}

void announce_target(const target_context& context, soak_target& it) {
    if (!it.up) {
        return;
    }
    target_announcement announcement;
    announcement.instance = it.instance;
    announcement.service = it.service;
    announcement.domain = it.domain;
    announcement.address = it.address;
    announcement.started_ms = it.started_ms;
    announcement.sequence = ++it.sequence;
    announcement.slots = it.slots;
    announcement.leaving = it.leaving;
    const bool leaving = it.leaving;
    context.client.send(it.control, platform::encode_announcement(announcement), announcement_timeout,
                        [&it, leaving, instance = it.instance](const http_result& result) {
                            const auto* answer = std::get_if<http_response>(&result);
                            const bool acknowledged = answer != nullptr && answer->status == 200;
                            if (acknowledged && leaving && it.instance == instance &&
                                !it.leave_acknowledged_at) {
                                it.leave_acknowledged_at = boot_clock::now();
                            }
                        });
}

} // namespace baobabswitch
