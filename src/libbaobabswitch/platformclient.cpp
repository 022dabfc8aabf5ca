#include "platformclient.h"

#include "jsontext.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

constexpr auto octets = "application/octet-stream";

/// Whether a call changes the store. The effect of a change that has no usable answer is unknown.
enum class effect { none, change };

error unavailable(std::string message) {
    return {error_kind::store_unavailable, std::move(message),
            "nothing was changed; try again when the platform answers"};
}

error unknown_outcome(std::string message) {
    return {error_kind::outcome_unknown, std::move(message),
            "the change may have taken effect; read the object back"};
}

/// Returns the error of a call that has no answer.
error no_answer(httplib::Error cause, effect kind) {
    const bool sent = cause != httplib::Error::Connection && cause != httplib::Error::ConnectionTimeout &&
                      cause != httplib::Error::BindIPAddress;
    if (!sent) {
        return unavailable("can't connect to the platform (" + httplib::to_string(cause) + ")");
    }
    const auto message = "the platform did not answer (" + httplib::to_string(cause) + ")";
    return kind == effect::change ? unknown_outcome(message) : unavailable(message);
}

error bad_answer(std::string_view what, effect kind) {
    const auto message = "the platform's answer is not usable: " + std::string{what};
    return kind == effect::change ? unknown_outcome(message) : unavailable(message);
}

/// Returns the error of an answer whose status is not 200.
error status_error(const httplib::Response& answer, std::string_view name, effect kind) {
    const auto object = "object \"" + std::string{name} + "\"";
    switch (answer.status) {
    case 400:
        return {error_kind::malformed, "the platform refused the call for " + object + ": " + answer.body,
                "correct the name or the value"};
    case 404:
        return {error_kind::not_found, "there is no " + object, "check the name"};
    case 409:
        return {error_kind::conflict, object + " was changed by another writer",
                "read it again and repeat the change"};
    case 413:
        return {error_kind::too_large, object + " is over 1 MB", "split it"};
    case 429:
        return unavailable("the platform's rate is exceeded");
    case 503:
        return unavailable("the platform is not available");
    default:
        return bad_answer("status " + std::to_string(answer.status), kind);
    }
}

/// Returns the JSON object of a 200 answer.
result<json> json_answer(const httplib::Result& outcome, std::string_view name, effect kind) {
    if (!outcome) {
        return no_answer(outcome.error(), kind);
    }
    if (outcome->status != 200) {
        return status_error(*outcome, name, kind);
    }
    auto body = parse_json_or_discard(outcome->body);
    if (!body.is_object()) {
        return bad_answer("the body is not a JSON object", kind);
    }
    return body;
}

/// Returns a member of an answer, or JSON null if it is missing, which fails the caller's type check.
const json& member(const json& object, const char* name) {
    static const json missing;
    const auto it = object.find(name);
    return it == object.end() ? missing : *it;
}

result<object_list> read_list(const json& body) {
    object_list found;
    const auto& objects = member(body, "objects");
    const auto& revision = member(body, "revision");
    if (!objects.is_array() || !revision.is_number_unsigned()) {
        return bad_answer("a list needs objects and revision", effect::none);
    }
    found.revision = revision.get<std::uint64_t>();
    for (const auto& it : objects) {
        const auto& name = member(it, "name");
        const auto& version = member(it, "version");
        if (!it.is_object() || !name.is_string() || !version.is_number_unsigned()) {
            return bad_answer("a listed object needs name and version", effect::none);
        }
        found.objects.push_back({name.get<std::string>(), version.get<std::uint64_t>()});
    }
    return found;
}

std::string object_path(std::string_view name) {
    return "/v1/objects/" + std::string{name};
}

std::string conditional_path(std::string_view name, std::uint64_t if_version) {
    return object_path(name) + "?if-version=" + std::to_string(if_version);
}

class platform_client final : public object_store {
public:
    platform_client(const endpoint& platform, platform_client_options options)
        : options_(options),
          calls_(platform.host, platform.port),
          watches_(platform.host, platform.port) {
        for (auto* it : {&calls_, &watches_}) {
            it->set_keep_alive(true);
            it->set_tcp_nodelay(true);
            it->set_connection_timeout(options_.timeout);
            it->set_read_timeout(options_.timeout);
            it->set_write_timeout(options_.timeout);
        }
    }

    result<stored_object> get(std::string_view name) override {
        const auto body = json_answer(calls_.Get(object_path(name)), name, effect::none);
        if (!body) {
            return body.error();
        }
        const auto& version = member(body.value(), "version");
        const auto& value = member(body.value(), "value");
        if (!version.is_number_unsigned() || !value.is_string()) {
            return bad_answer("an object needs version and value", effect::none);
        }
        return stored_object{std::string{name}, version.get<std::uint64_t>(), value.get<std::string>()};
    }

    result<std::uint64_t> put(std::string_view name, std::string_view value,
                              std::uint64_t if_version) override {
        const auto body =
            json_answer(calls_.Put(conditional_path(name, if_version), value.data(), value.size(), octets),
                        name, effect::change);
        if (!body) {
            return body.error();
        }
        const auto& version = member(body.value(), "version");
        if (!version.is_number_unsigned()) {
            return bad_answer("a write needs a version", effect::change);
        }
        return version.get<std::uint64_t>();
    }

    result<void> remove(std::string_view name, std::uint64_t if_version) override {
        const auto body =
            json_answer(calls_.Delete(conditional_path(name, if_version)), name, effect::change);
        if (!body) {
            return body.error();
        }
        return success();
    }

    result<object_list> list(std::string_view prefix) override {
        const auto body =
            json_answer(calls_.Get("/v1/objects?prefix=" + std::string{prefix}), prefix, effect::none);
        if (!body) {
            return body.error();
        }
        return read_list(body.value());
    }

    result<object_list> watch(std::string_view prefix, std::uint64_t after, milliseconds wait) override {
        const std::lock_guard lock{watch_mutex_}; // All watches share one client and its read timeout.
        watches_.set_read_timeout(wait + options_.watch_margin);
        const auto path = "/v1/watch?prefix=" + std::string{prefix} + "&after=" + std::to_string(after) +
                          "&wait-ms=" + std::to_string(wait.count());
        const auto body = json_answer(watches_.Get(path), prefix, effect::none);
        if (!body) {
            return body.error();
        }
        return read_list(body.value());
    }

private:
    platform_client_options options_;
    httplib::Client calls_;
    httplib::Client watches_;
    std::mutex watch_mutex_;
};

} // namespace

std::unique_ptr<object_store> make_platform_client(const endpoint& platform,
                                                   platform_client_options options) {
    return std::make_unique<platform_client>(platform, options);
}

} // namespace baobabswitch
