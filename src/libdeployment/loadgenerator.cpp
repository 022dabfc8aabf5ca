#include "loadgenerator.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace baobabswitch {

namespace {

constexpr std::size_t key_batch = 500;
constexpr std::size_t key_refill_threshold = 200; ///< another batch is fetched when fewer keys are left
constexpr milliseconds key_timeout{1000};
constexpr milliseconds client_timeout_margin{100}; ///< added to a kind's timeout by the client
constexpr milliseconds avoid_period{1000}; ///< time without new requests to a draining or unreachable node
constexpr int max_node_picks = 8;
constexpr milliseconds idle_poll_period{20}; ///< interval at which a rate of zero is checked again

http_client_options client_options() {
    http_client_options options;
    options.max_connections_per_endpoint = 1000;
    options.max_connecting_per_endpoint = 64;
    return options;
}

} // namespace

struct load_generator::client_request {
    request_sample sample;
    time_point planned;
    std::string key;
    endpoint key_node;                ///< the node that issued the key
    bool all_attempts_not_run = true; ///< every attempt so far had the outcome not-run
};

load_generator::load_generator(event_loop& loop, const workload& load, std::vector<endpoint> nodes,
                               load_options options)
    : loop_(loop),
      load_(load),
      nodes_(std::move(nodes)),
      options_(std::move(options)),
      client_(loop, client_options()),
      rng_(options_.seed) {}

void load_generator::start(std::function<void()> on_finished, std::function<void()> on_begin) {
    on_finished_ = std::move(on_finished);
    for (const auto& it : nodes_) {
        fetch_keys(it);
    }
    constexpr milliseconds key_fetch_lead{300};
    loop_.schedule(key_fetch_lead, [this, on_begin = std::move(on_begin)] {
        started_ = clock::now();
        next_ = started_;
        if (on_begin) {
            on_begin();
        }
        schedule_next();
    });
}

const std::vector<request_sample>& load_generator::samples() const {
    return samples_;
}

time_point load_generator::started() const {
    return started_;
}

double load_generator::now_seconds() const {
    return std::chrono::duration<double>(clock::now() - started_).count();
}

void load_generator::schedule_next() {
    const auto now = clock::now();
    while (next_ <= now) {
        const double at = std::chrono::duration<double>(next_ - started_).count();
        if (at >= options_.seconds) {
            issuing_ = false;
            if (outstanding_ == 0) {
                on_finished_();
            }
            return;
        }
        const double rate = options_.rate(at);
        if (rate <= 0) {
            next_ += idle_poll_period;
            continue;
        }
        issue(next_);
        const double gap = std::exponential_distribution<double>{rate}(rng_);
        next_ += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap));
    }
    loop_.schedule(next_ - now, [this] { schedule_next(); });
}

std::string load_generator::pick_kind(double at) {
    std::vector<double> weights;
    for (const auto& [name, it] : load_.kinds) {
        weights.push_back(it.share * (options_.weight ? options_.weight(name, at) : 1));
    }
    const auto n = std::discrete_distribution<std::ptrdiff_t>{weights.begin(), weights.end()}(rng_);
    return std::next(load_.kinds.begin(), n)->first;
}

endpoint load_generator::pick_node() {
    std::uniform_int_distribution<std::size_t> any{0, nodes_.size() - 1};
    auto node = nodes_.at(any(rng_));
    for (int n = 0; n < max_node_picks && avoid_until_[node] > clock::now(); ++n) {
        node = nodes_.at(any(rng_));
    }
    return node;
}

bool load_generator::take_key(client_request& it) {
    const auto node = pick_node();
    if (keys_[node].size() < key_refill_threshold) {
        fetch_keys(node);
    }
    for (const auto& [owner, keys] : keys_) {
        const bool usable = !keys.empty() && avoid_until_[owner] <= clock::now();
        if (usable && (keys_[node].empty() || owner == node)) {
            it.key_node = owner;
            it.key = std::move(keys_[owner].back());
            keys_[owner].pop_back();
            return true;
        }
    }
    return false;
}

void load_generator::issue(time_point planned) {
    auto it = std::make_shared<client_request>();
    it->planned = planned;
    it->sample.at = std::chrono::duration<double>(planned - started_).count();
    it->sample.send_lag = std::chrono::duration<double>(clock::now() - planned).count();
    it->sample.kind = pick_kind(it->sample.at);
    ++outstanding_;
    if (!load_.kinds.at(it->sample.kind).idempotent && !take_key(*it)) {
        it->sample.outcome = "not-run";
        it->sample.cause = "no-key";
        end(it);
        return;
    }
    loop_.schedule(options_.client_latency, [this, it] { attempt(it); });
}

void load_generator::fetch_keys(const endpoint& node) {
    if (fetching_[node]) {
        return;
    }
    fetching_[node] = true;
    client_.send(node, {"POST", "/v1/keys?count=" + std::to_string(key_batch), {}, ""}, key_timeout,
                 [this, node](http_result result) {
                     fetching_[node] = false;
                     const auto* response = std::get_if<http_response>(&result);
                     if (response == nullptr || response->status != 200) {
                         return;
                     }
                     const auto body = nlohmann::json::parse(response->body, nullptr, false);
                     for (const auto& key : body.value("keys", nlohmann::json::array())) {
                         keys_[node].push_back(key.get<std::string>());
                     }
                 });
}

void load_generator::attempt(const std::shared_ptr<client_request>& it) {
    ++it->sample.attempts;
    const auto& kind = load_.kinds.at(it->sample.kind);
    http_request request{
        "POST",
        "/v1/call/" + kind.service + "/" + it->sample.kind,
        {{"Baobab-Kind", it->sample.kind}, {"Baobab-Timeout-Ms", std::to_string(kind.timeout_ms)}},
        "{}"};
    // The first attempt goes to the key's owner; retries go to any node.
    const auto node = it->key.empty() || it->sample.attempts > 1 ? pick_node() : it->key_node;
    if (!it->key.empty()) {
        request.headers.emplace_back("Baobab-Key", it->key);
    }
    client_.send(node, std::move(request), milliseconds{kind.timeout_ms} + client_timeout_margin,
                 [this, it, node](http_result result) {
                     loop_.schedule(options_.client_latency, [this, it, node, result = std::move(result)] {
                         on_answer(it, node, result);
                     });
                 });
}

void load_generator::on_answer(const std::shared_ptr<client_request>& it, const endpoint& node,
                               const http_result& result) {
    auto& sample = it->sample;
    sample.outcome = "unknown";
    sample.cause.clear();
    if (const auto* response = std::get_if<http_response>(&result)) {
        sample.outcome = header_or_empty(response->headers, "Baobab-Outcome");
        const auto body = nlohmann::json::parse(response->body, nullptr, false);
        if (sample.outcome == "done") {
            const auto request = header_or_empty(response->headers, "Baobab-Request");
            if (response->status != 200) {
                sample.outcome = "failed";
            } else if (!body.is_object() || body.value("kind", "") != sample.kind ||
                       body.value("request", "") != request || (!it->key.empty() && it->key != request)) {
                sample.response_matches = false;
            }
        } else if (body.is_object()) {
            sample.cause = body.value("error", "");
        }
    } else {
        const auto& failure = std::get<http_failure>(result);
        sample.outcome = failure.sent ? "unknown" : "not-run";
        sample.cause = failure.kind == http_failure_kind::timeout ? "client-timeout" : "connection";
        if (failure.sent && failure.kind != http_failure_kind::timeout) {
            ++sample.interrupted_attempts;
        }
    }
    if (sample.cause == "connection" || sample.cause == "draining") {
        avoid_until_[node] = clock::now() + avoid_period;
    }
    sample.refusals += sample.outcome == "not-run" ? 1 : 0;
    if (const auto* response = std::get_if<http_response>(&result);
        response != nullptr && sample.outcome == "not-run" && it->key.empty()) {
        sample.not_run_ids.emplace_back(header_or_empty(response->headers, "Baobab-Request"));
    }
    it->all_attempts_not_run = it->all_attempts_not_run && sample.outcome == "not-run";
    if (!it->all_attempts_not_run && sample.outcome == "not-run" && sample.cause == "connection") {
        sample.outcome = "unknown"; // This attempt wasn't sent, but an earlier one may have run.
    }
    const auto retry_policy =
        options_.retry_policy ? options_.retry_policy(now_seconds()) : client_retry_policy{};
    const bool finished = sample.outcome == "done" || sample.outcome == "promised";
    if (finished || !issuing_ || sample.attempts > retry_policy.retries ||
        !prepare_retry(*it, sample.cause)) {
        end(it);
        return;
    }
    const auto spread = std::uniform_real_distribution<double>{0.5, 1.5}(rng_);
    const auto wait = retry_policy.backoff * sample.attempts * spread;
    loop_.schedule(std::chrono::duration_cast<duration>(wait), [this, it] { attempt(it); });
}

/// Returns whether a request can be retried. A keyed request is retried with the same key. It gets a new key
/// only if the owner of the old one is gone, draining or unreachable and no attempt can have run.
bool load_generator::prepare_retry(client_request& it, const std::string& cause) {
    const auto replace_key = [this, &it] {
        const auto old = it.key;
        if (!take_key(it)) {
            return false;
        }
        if (it.all_attempts_not_run) {
            it.sample.not_run_ids.push_back(old);
        }
        return true;
    };
    if (it.key.empty()) {
        return true;
    }
    if (cause == "key-owner-gone") {
        keys_[it.key_node].clear();
        // The owner's records are lost. Without an earlier attempt that may have run, the request hasn't run.
        return (it.all_attempts_not_run || it.sample.attempts == 1) && replace_key();
    }
    if (cause == "draining" || cause == "connection" || cause == "key-owner-unreachable") {
        return !it.all_attempts_not_run || replace_key();
    }
    return true;
}

void load_generator::end(const std::shared_ptr<client_request>& it) {
    if (it->sample.outcome == "not-run" && !it->key.empty()) {
        it->sample.not_run_ids.push_back(it->key);
    }
    it->sample.seconds = std::chrono::duration<double>(clock::now() - it->planned).count();
    samples_.push_back(it->sample);
    --outstanding_;
    if (!issuing_ && outstanding_ == 0) {
        on_finished_();
    }
}

} // namespace baobabswitch
