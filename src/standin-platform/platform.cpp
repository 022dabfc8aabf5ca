#include "platform.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

constexpr std::string_view objects_path = "/v1/objects/";
constexpr milliseconds max_watch_wait{60'000};

http_response error_response(unsigned status, const std::string& message) {
    return json_response(status, json{{"error", message}}.dump());
}

http_response error_response(const error& err) {
    switch (err.kind) {
    case error_kind::not_found:
        return error_response(404, err.message);
    case error_kind::conflict:
        return error_response(409, err.message);
    case error_kind::too_large:
        return error_response(413, err.message);
    default:
        return error_response(503, err.message);
    }
}

http_response list_response(const object_list& found) {
    auto objects = json::array();
    for (const auto& it : found.objects) {
        objects.push_back({{"name", it.name}, {"version", it.version}});
    }
    return json_response(200, json{{"objects", std::move(objects)}, {"revision", found.revision}}.dump());
}

/// Values are returned as JSON strings, so they must be UTF-8.
bool is_utf8(const std::string& value) {
    try {
        return !json(value).dump().empty();
    } catch (const json::type_error&) {
        return false;
    }
}

bool is_write(const http_request& request) {
    return request.method == "PUT" || request.method == "DELETE";
}

std::string operation_name(const http_request& request) {
    const auto path = path_of(request.target);
    if (request.method == "PUT") {
        return "put";
    }
    if (request.method == "DELETE") {
        return "remove";
    }
    if (path == "/v1/watch") {
        return "watch";
    }
    return path == "/v1/objects" ? "list" : "get";
}

std::uint64_t number_parameter(const http_request& request, std::string_view name) {
    return parse_number(query_parameter(request.target, name).value_or("")).value_or(0);
}

http_response read_error_response(http_read_error kind) {
    return kind == http_read_error::body_too_large ? error_response(413, "the value is over 1 MB")
                                                   : error_response(400, "the request is malformed");
}

} // namespace

result<std::unique_ptr<platform>> platform::create(event_loop& loop, const endpoint& listen,
                                                   platform_faults faults) {
    auto it = std::make_unique<platform>(loop, faults);
    http_server_options options;
    options.on_read_error = read_error_response;
    auto server =
        http_server::listen(loop, listen, std::move(options),
                            [raw = it.get()](const http_request& request, const exchange_ptr& exchange) {
                                raw->dispatch(request, exchange);
                            });
    if (!server) {
        return server.error();
    }
    it->server_ = std::move(server.value());
    return it;
}

platform::platform(event_loop& loop, platform_faults faults)
    : loop_(loop),
      faults_(faults),
      rng_(faults.seed),
      reads_{faults.reads_per_second, faults.reads_per_second, clock::now()},
      writes_{faults.writes_per_second, faults.writes_per_second, clock::now()} {}

result<void> platform::load(const std::string& text) {
    const auto objects = json::parse(text, nullptr, false);
    if (!objects.is_object()) {
        return error{error_kind::bad_document, "the file of objects is not a JSON object",
                     "write {\"name\": value}"};
    }
    for (const auto& [name, value] : objects.items()) {
        const auto written = store_.put(name, value.is_string() ? value.get<std::string>() : value.dump(), 0);
        if (!written) {
            return written.error();
        }
    }
    return success();
}

std::uint16_t platform::port() const {
    return server_->port();
}

void platform::dispatch(const http_request& request, const exchange_ptr& exchange) {
    const auto path = path_of(request.target);
    if (path == "/control" && request.method == "POST") {
        exchange->respond(control(request.body));
    } else if (path == "/counters" && request.method == "GET") {
        exchange->respond(counters());
    } else if (path == "/v1/watch" || path.starts_with("/v1/objects")) {
        call(request, exchange);
    } else {
        exchange->respond(error_response(404, "no resource at this path"));
    }
}

void platform::call(const http_request& request, const exchange_ptr& exchange) {
    count("calls." + operation_name(request));
    if (!take_token(is_write(request) ? writes_ : reads_)) {
        count("rejected.rate");
        exchange->respond(error_response(429, "the rate limit is exceeded"));
        return;
    }
    std::uniform_real_distribution<double> percent{0, 100};
    if (faults_.outage == outage_kind::silent || percent(rng_) < faults_.lost_call_percent) {
        count("lost.calls");
        return;
    }
    if (faults_.outage == outage_kind::refuse || percent(rng_) < faults_.unavailable_percent) {
        count("rejected.outage");
        exchange->respond(error_response(503, "the platform is not available"));
        return;
    }
    const bool lost = is_write(request) && percent(rng_) < faults_.lost_answer_percent;
    loop_.schedule(one_way_latency(), [this, request, exchange, lost] {
        if (lost) {
            count("lost.answers");
        }
        apply(request, lost ? nullptr : exchange);
    });
}

void platform::apply(const http_request& request, const exchange_ptr& exchange) {
    const auto path = path_of(request.target);
    if (path == "/v1/watch") {
        start_watch(request, exchange);
        return;
    }
    if (path == "/v1/objects") {
        const auto found = store_.list(query_parameter(request.target, "prefix").value_or(""));
        answer(exchange, list_response(found.value()));
        return;
    }
    const std::string name{path.substr(std::min(path.size(), objects_path.size()))};
    if (name.empty()) {
        answer(exchange, error_response(404, "the object's name is missing"));
    } else if (request.method == "GET") {
        answer(exchange, read(name));
    } else if (is_write(request)) {
        answer(exchange, write(request, name));
    } else {
        answer(exchange, error_response(405, "use GET, PUT or DELETE"));
    }
}

http_response platform::read(const std::string& name) {
    const auto object = store_.get(name);
    if (!object) {
        return error_response(object.error());
    }
    const auto& it = object.value();
    return json_response(200, json{{"name", it.name}, {"version", it.version}, {"value", it.value}}.dump());
}

http_response platform::write(const http_request& request, const std::string& name) {
    const auto if_version = parse_number(query_parameter(request.target, "if-version").value_or(""));
    if (!if_version) {
        return error_response(400, "if-version is missing or not a number");
    }
    if (request.method == "DELETE") {
        const auto removed = store_.remove(name, *if_version);
        if (!removed) {
            return error_response(removed.error());
        }
        answer_watches(name);
        return json_response(200, "{}");
    }
    if (!is_utf8(request.body)) {
        return error_response(400, "the value is not UTF-8");
    }
    const auto written = store_.put(name, request.body, *if_version);
    if (!written) {
        return error_response(written.error());
    }
    answer_watches(name);
    return json_response(200, json{{"version", written.value()}}.dump());
}

void platform::answer(const exchange_ptr& exchange, http_response response) {
    if (!exchange) {
        return;
    }
    loop_.schedule(one_way_latency(), [exchange, response = std::move(response)]() mutable {
        exchange->respond(std::move(response));
    });
}

void platform::start_watch(const http_request& request, const exchange_ptr& exchange) {
    const auto prefix = query_parameter(request.target, "prefix").value_or("");
    const auto after = number_parameter(request, "after");
    const auto found = store_.watch(prefix, after, milliseconds{0});
    const auto wait = std::min(milliseconds{number_parameter(request, "wait-ms")}, max_watch_wait);
    if (!found.value().objects.empty() || wait.count() == 0) {
        answer(exchange, list_response(found.value()));
        return;
    }
    const auto it = watches_.insert(watches_.end(), {prefix, after, exchange, {}});
    it->deadline = loop_.schedule(wait, [this, it] {
        answer(it->exchange, list_response(store_.watch(it->prefix, it->after, milliseconds{0}).value()));
        watches_.erase(it);
    });
    exchange->on_abandoned([this, it] {
        it->deadline.cancel();
        watches_.erase(it);
    });
}

void platform::answer_watches(std::string_view name) {
    for (auto it = watches_.begin(); it != watches_.end();) {
        if (!name.starts_with(it->prefix)) {
            ++it;
            continue;
        }
        it->deadline.cancel();
        it->exchange->on_abandoned(nullptr);
        answer(it->exchange, list_response(store_.watch(it->prefix, it->after, milliseconds{0}).value()));
        it = watches_.erase(it);
    }
}

http_response platform::control(const std::string& body) {
    const auto changed = change_faults(faults_, body);
    if (!changed) {
        return error_response(400, describe(changed.error()));
    }
    if (changed.value().seed != faults_.seed) {
        rng_.seed(changed.value().seed);
    }
    faults_ = changed.value();
    reads_.per_second = faults_.reads_per_second;
    writes_.per_second = faults_.writes_per_second;
    faults_end_.cancel();
    if (faults_.for_ms > 0) {
        const auto end =
            std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{faults_.for_ms});
        faults_end_ = loop_.schedule(end, [this] {
            platform_faults reset_faults;
            reset_faults.writes_per_second = faults_.writes_per_second;
            reset_faults.reads_per_second = faults_.reads_per_second;
            reset_faults.seed = faults_.seed;
            faults_ = reset_faults;
        });
    }
    return json_response(200, "{}");
}

http_response platform::counters() const {
    json body{{"calls", json::object()},
              {"rejected", json::object()},
              {"lost", json::object()},
              {"waiting_watches", watches_.size()},
              {"connections", server_->open_connections()}};
    for (const auto& [name, n] : counts_) {
        const auto dot = name.find('.');
        body[name.substr(0, dot)][name.substr(dot + 1)] = n;
    }
    return json_response(200, body.dump());
}

bool platform::take_token(call_rate_limit& rate) {
    const auto now = clock::now();
    const auto elapsed = std::chrono::duration<double>(now - rate.refilled).count();
    rate.refilled = now;
    rate.tokens = std::min(rate.per_second, rate.tokens + elapsed * rate.per_second);
    if (rate.tokens < 1) {
        return false;
    }
    rate.tokens -= 1;
    return true;
}

duration platform::one_way_latency() {
    const auto slow = std::uniform_real_distribution<double>{0, 1}(rng_)*faults_.slow_ms;
    const std::chrono::duration<double, std::milli> half{(faults_.latency_ms + slow) / 2};
    return std::chrono::duration_cast<duration>(half);
}

void platform::count(std::string_view name) {
    ++counts_[std::string{name}];
}

} // namespace baobabswitch
