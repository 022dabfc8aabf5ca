#include "target.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace baobabswitch {

namespace {

constexpr std::chrono::seconds announce_period{1};
constexpr milliseconds announce_timeout{500};
constexpr milliseconds drain_poll_period{50};

/// Rejects a call that has not started.
void respond_not_run(http_exchange& exchange, std::string body) {
    auto answer = json_response(503, std::move(body));
    answer.headers.emplace_back("Baobab-Not-Run", "1");
    exchange.respond(std::move(answer));
}

} // namespace

struct standin_target::accepted_call {
    std::string id;
    std::string request;
    std::string kind;
    time_point deadline;
    std::shared_ptr<http_exchange> exchange;
    timer_handle timer;
    std::size_t next_child = 0;
    http_client::exchange_id child = 0; ///< last child call sent; 0: none
    bool started = false;
    bool ended = false;
};

result<std::unique_ptr<standin_target>> standin_target::create(event_loop& loop, workload load,
                                                               target_options options) {
    const auto listen = options.listen;
    auto it = std::make_unique<standin_target>(loop, std::move(load), std::move(options));
    auto server = http_server::listen(
        loop, listen, {},
        [raw = it.get()](const http_request& request, const std::shared_ptr<http_exchange>& ex) {
            raw->dispatch(request, ex);
        });
    if (!server) {
        return server.error();
    }
    it->server_ = std::move(server.value());
    loop.schedule_every(announce_period, [raw = it.get()] { raw->announce(); });
    loop.post([raw = it.get()] { raw->announce(); });
    return it;
}

standin_target::standin_target(event_loop& loop, workload load, target_options options)
    : loop_(loop),
      load_(std::move(load)),
      options_(std::move(options)),
      node_(loop, {}),
      rng_(options_.seed) {
    if (!options_.executions_file.empty()) {
        executions_file_.open(options_.executions_file, std::ios::app);
    }
    node_.limit_connections(options_.node, static_cast<std::size_t>(options_.connections));
}

void standin_target::dispatch(const http_request& request, const std::shared_ptr<http_exchange>& exchange) {
    const auto path = path_of(request.target);
    if (path == "/executions") {
        exchange->respond(json_response(200, nlohmann::json(executions_).dump()));
    } else if (path.starts_with("/cancel/")) {
        cancel(std::string{path.substr(std::string_view{"/cancel/"}.size())}, *exchange);
    } else if (path == "/load") {
        exchange->respond(json_response(200, load_report()));
    } else if (path == "/control") {
        control(request, *exchange);
    } else {
        handle_call(request, exchange);
    }
}

void standin_target::handle_call(const http_request& request,
                                 const std::shared_ptr<http_exchange>& exchange) {
    auto call = std::make_shared<accepted_call>();
    call->id = header_or_empty(request.headers, "Baobab-Call");
    call->request = header_or_empty(request.headers, "Baobab-Request");
    call->kind = header_or_empty(request.headers, "Baobab-Kind");
    const auto timeout = parse_number(header_or_empty(request.headers, "Baobab-Timeout-Ms")).value_or(60'000);
    call->deadline = clock::now() + milliseconds{timeout};
    call->exchange = exchange;
    if (!load_.kinds.contains(call->kind)) {
        exchange->respond(json_response(400, R"({"error":"unknown kind"})"));
        return;
    }
    if (std::bernoulli_distribution{switches_.shed}(rng_)) {
        respond_not_run(*exchange, R"({"error":"shed"})");
        return;
    }
    calls_[call->id] = call;
    queue_.push_back(call);
    start_next();
}

void standin_target::control(const http_request& request, http_exchange& exchange) {
    const auto changed = apply_switches(switches_, request.body);
    if (!changed) {
        exchange.respond(json_response(400, nlohmann::json{{"error", describe(changed.error())}}.dump()));
        return;
    }
    exchange.respond(json_response(200, "{}"));
    if (switches_.freeze_ms > 0) {
        const milliseconds pause{std::exchange(switches_.freeze_ms, 0)};
        // Sends the answer before the process freezes.
        loop_.schedule(milliseconds{1}, [pause] { std::this_thread::sleep_for(pause); });
    }
}

std::string standin_target::load_report() const {
    if (switches_.misleading_load) {
        return R"({"running":0,"queued":0})";
    }
    return nlohmann::json{{"running", running_}, {"queued", queue_.size()}}.dump();
}

duration standin_target::service_time(const std::string& kind) const {
    double factor = switches_.slowdown;
    const auto age = std::chrono::duration<double, std::milli>(clock::now() - started_).count();
    if (age < switches_.cold_start_ms) {
        // Decreases linearly from cold_factor to 1.
        factor *= 1 + (switches_.cold_factor - 1) * (1 - age / switches_.cold_start_ms);
    }
    const std::chrono::duration<double, std::milli> time{load_.kinds.at(kind).service_ms * factor};
    return std::chrono::duration_cast<duration>(time);
}

void standin_target::record(std::string_view event, const std::string& request, const std::string& kind) {
    if (executions_file_.is_open()) {
        // Flushes each record, so that the counts survive SIGKILL.
        executions_file_ << event << ' ' << request << ' ' << kind
                         << std::endl; // NOLINT(performance-avoid-endl)
    }
}

void standin_target::start_next() {
    while (running_ < options_.slots && !queue_.empty()) {
        const auto call = queue_.front();
        queue_.pop_front();
        if (call->deadline <= clock::now()) {
            call->ended = true;
            calls_.erase(call->id);
            respond_not_run(*call->exchange, R"({"error":"the deadline passed in the queue"})");
            continue;
        }
        run(call);
    }
}

void standin_target::run(const std::shared_ptr<accepted_call>& call) {
    ++running_;
    call->started = true;
    ++executions_[call->request + " " + call->kind];
    record("run", call->request, call->kind);
    call->timer = loop_.schedule(service_time(call->kind), [this, call] { call_next_child(call); });
}

void standin_target::call_next_child(const std::shared_ptr<accepted_call>& call) {
    const auto& children = load_.kinds.at(call->kind).children;
    if (call->ended) {
        return;
    }
    if (call->next_child == children.size()) {
        finish(call,
               json_response(200, nlohmann::json{{"request", call->request}, {"kind", call->kind}}.dump()));
        return;
    }
    const auto n = call->next_child++;
    const auto& child = children.at(n);
    const auto remaining = std::chrono::duration_cast<milliseconds>(call->deadline - clock::now());
    if (remaining <= milliseconds{0}) {
        finish(call, json_response(504, R"({"error":"timeout"})"));
        return;
    }
    record("child", call->request, child);
    http_request request{"POST",
                         "/v1/call/" + load_.kinds.at(child).service + "/" + child,
                         {{"Baobab-Kind", child},
                          {"Baobab-Timeout-Ms", std::to_string(remaining.count())},
                          {"Baobab-Parent", call->id},
                          {"Baobab-Child", std::to_string(n)}},
                         "{}"};
    call->child = node_.send(options_.node, std::move(request), remaining, [this, call](http_result result) {
        const auto* response = std::get_if<http_response>(&result);
        if (response == nullptr || response->status != 200) {
            finish(call, json_response(502, R"({"error":"a child call failed"})"));
            return;
        }
        call_next_child(call);
    });
}

void standin_target::finish(const std::shared_ptr<accepted_call>& call, http_response response) {
    if (call->ended) {
        return;
    }
    call->ended = true;
    call->exchange->respond(std::move(response));
    calls_.erase(call->id);
    if (call->started) {
        --running_;
    } else {
        std::erase(queue_, call);
    }
    start_next();
}

void standin_target::cancel(const std::string& id, http_exchange& exchange) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || switches_.ignore_cancel) {
        exchange.respond(json_response(409, R"({"result":"too-late"})"));
        return;
    }
    const auto call = it->second;
    call->timer.cancel();
    if (call->child != 0) {
        node_.cancel(call->child);
    }
    auto answer = json_response(503, R"({"error":"cancelled"})");
    answer.headers.emplace_back("Baobab-Cancelled", "1");
    if (!call->started) {
        answer.headers.emplace_back("Baobab-Not-Run", "1");
    }
    finish(call, std::move(answer));
    exchange.respond(json_response(200, R"({"result":"cancelled"})"));
}

void standin_target::announce() {
    const nlohmann::json body{{"service", options_.service},
                              {"address", to_string(options_.advertise)},
                              {"slots", options_.slots},
                              {"connections", options_.connections},
                              {"state", leaving_ ? "leaving" : "up"}};
    node_.send(options_.node, {"POST", "/n/announce", {}, body.dump()}, announce_timeout,
               [](const http_result&) {});
}

void standin_target::leave() {
    leaving_ = true;
    announce();
    stop_when_idle();
}

void standin_target::stop_when_idle() {
    loop_.schedule(drain_poll_period, [this] {
        if (calls_.empty()) {
            loop_.stop();
            return;
        }
        stop_when_idle();
    });
}

} // namespace baobabswitch
