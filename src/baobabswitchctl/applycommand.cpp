#include "applycommand.h"

#include "configdocument.h"
#include "files.h"
#include "storebudget.h"

#include <iostream>
#include <random>
#include <thread>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

/// Time for which a change of unknown outcome is retried before the outcome is reported as unknown.
constexpr std::chrono::seconds settle_timeout{15};
constexpr std::chrono::seconds rollout_poll_interval{1};

std::string phase_text(const domain_rollout& it) {
    return it.phase == rollout_phase::cut_off ? "pending, cut off since " + it.last_status
                                              : std::string{rollout_phase_name(it.phase)};
}

/// Retries a change while its outcome is unknown, until `settle_timeout` has passed.
result<audit_entry> apply_and_settle(object_store& store, config_change& change) {
    std::mt19937_64 rng{std::random_device{}()};
    backoff delays;
    const auto deadline = clock::now() + settle_timeout;
    for (;;) {
        auto attempt = apply_change(store, change);
        if (attempt || attempt.error().kind != error_kind::outcome_unknown || clock::now() > deadline) {
            return attempt;
        }
        std::this_thread::sleep_for(next_delay(delays, rng));
    }
}

/// Reads the configuration that a change replaces; an empty document if there is none yet.
result<stored_config> read_base(object_store& store) {
    auto stored = read_config(store);
    if (!stored && stored.error().kind == error_kind::not_found) {
        return stored_config{{}, json::object(), {}, 0};
    }
    return stored;
}

/// Waits until the version is in force in all reachable failure domains. Returns done, or pending on timeout.
/// Stores the last rollout that was read in `state`.
exit_code wait_until_in_force(object_store& store, std::uint64_t version, const ctl_invocation& invocation,
                              rollout& state) {
    const auto deadline = clock::now() + invocation.wait_timeout;
    for (;;) {
        auto read = read_rollout(store, std::chrono::system_clock::now());
        if (read) {
            state = std::move(read.value());
            if (in_force_where_reachable(state, version)) {
                return exit_code::done;
            }
        }
        if (clock::now() > deadline) {
            return exit_code::pending;
        }
        std::this_thread::sleep_for(rollout_poll_interval);
    }
}

} // namespace

result<json> read_document(const std::string& file_name) {
    const auto text = read_file(file_name);
    if (!text) {
        return text.error();
    }
    auto document = json::parse(text.value(), nullptr, false);
    if (document.is_discarded()) {
        return error{error_kind::bad_document, file_name + ": the document is not JSON",
                     "check commas, quotes and brackets"};
    }
    if (const auto valid = configuration_from_json(document); !valid) {
        return error{valid.error().kind, file_name + ": " + valid.error().message, valid.error().remedy};
    }
    return document;
}

void write_accepted_version(std::ostream& out, const rollout& state) {
    const auto& it = state.accepted;
    if (it.version == 0) {
        out << "no configuration has been accepted yet\n\n";
        return;
    }
    out << "accepted: version " << it.version << ", digest " << it.digest << ", by " << it.author << " at "
        << it.time << ": " << it.reason << "\n\n";
}

text_table rollout_table(const rollout& state) {
    text_table table{{"DOMAIN", "PHASE", "IN FORCE", "MEMBERS", "TARGETS"}, {}};
    for (const auto& it : state.domains) {
        std::string targets;
        for (const auto& [name, n] : it.targets) {
            targets += (targets.empty() ? "" : ", ") + std::to_string(n) + ' ' + name;
        }
        const auto versions =
            it.least_version == it.greatest_version
                ? std::to_string(it.least_version)
                : std::to_string(it.least_version) + " to " + std::to_string(it.greatest_version);
        table.rows.push_back({it.domain, phase_text(it), versions, std::to_string(it.members), targets});
    }
    return table;
}

exit_code apply_document(object_store& store, const ctl_invocation& invocation) {
    auto document = read_document(invocation.arguments.front());
    if (!document) {
        return report(document.error());
    }
    if (!invocation.write_id.empty() && !invocation.base_version) {
        return report({error_kind::bad_settings, "--write-id needs --base-version",
                       "give both values from the message about the unknown outcome"});
    }
    const auto base = read_base(store);
    if (!base) {
        return report(base.error());
    }
    const bool table = invocation.format == output_format::table;
    if (table) {
        for (const auto& it : document_changes(base.value().document, document.value())) {
            std::cout << describe(it) << '\n';
        }
    }
    config_change change;
    change.document = std::move(document.value());
    change.author = invocation.settings.author;
    change.reason = invocation.reason;
    change.time = utc_time(std::chrono::system_clock::now());
    change.write_id = invocation.write_id.empty() ? make_write_id() : invocation.write_id;
    change.base_version = invocation.base_version.value_or(base.value().change.version);
    change.may_be_written = !invocation.write_id.empty();
    const auto accepted = apply_and_settle(store, change);
    if (!accepted) {
        const auto code = report(accepted.error());
        if (code == exit_code::unknown) {
            std::cerr << "baobabswitchctl: to settle it, repeat the command with --write-id "
                      << change.write_id << " --base-version " << change.base_version << '\n';
        }
        return code;
    }
    const auto version = accepted.value().version;
    if (table) {
        std::cout << "accepted: version " << version << std::endl;
    }
    auto code = exit_code::done;
    rollout state;
    if (invocation.wait) {
        code = wait_until_in_force(store, version, invocation, state);
    }
    if (!table) {
        json output{{"accepted", to_json(accepted.value())}};
        if (invocation.wait) {
            output["domains"] = to_json(state)["domains"];
        }
        std::cout << output.dump(2) << '\n';
        return code;
    }
    if (invocation.wait) {
        write_table(std::cout, rollout_table(state));
    }
    if (invocation.wait && state.domains.empty()) {
        std::cout << "no failure domain has reported its status yet\n";
    }
    if (code == exit_code::pending) {
        std::cerr << "baobabswitchctl: version " << version
                  << " is accepted, but not yet in force everywhere; "
                  << "see: baobabswitchctl status\n";
    }
    return code;
}

} // namespace baobabswitch
