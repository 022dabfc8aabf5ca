#include "loadrun.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <csignal>
#include <thread>

using namespace baobabswitch;

namespace {

constexpr unsigned retry_budget = 3; ///< the default of policy.retry_budget
constexpr std::uint16_t call_port = 7400;
constexpr std::uint16_t target_port = 8000;

/// Checks the guarantees that hold in every run, whichever faults are injected.
void check_guarantees(const load_run_result& run) {
    CHECK(run.executions.non_idempotent_repeats == 0);
    CHECK(run.executions.max_retries_per_request <= retry_budget);
    CHECK(run.not_run_but_executed == 0);
    CHECK(run.all_answers_complete());
    CHECK(run.violated == 0);
    CHECK(run.count("done") > 0);
    CHECK(run.executions.runs >= run.count("done"));
}

std::vector<endpoint> nodes_without(const deployment& deployed, std::size_t left_out) {
    std::vector<endpoint> nodes;
    for (std::size_t n = 0; n < deployed.vms().size(); ++n) {
        if (n != left_out) {
            nodes.push_back(deployed.vms().at(n).listen);
        }
    }
    return nodes;
}

/// A deployment behind the fault proxy for tests that only inject faults into connections. These tests
/// share its fault counts, which are not reset.
deployment& shared_deployment() {
    static const auto shared = start_small_deployment(true);
    return *shared;
}

nlohmann::json fault_rule(std::uint16_t port, const char* fault, double share) {
    return nlohmann::json::array({{{"port", port}, {fault, share}}});
}

} // namespace

// Guards against a planned stop that cuts off requests in flight or loses those that arrive meanwhile (P7).
TEST_CASE("a target and its node stopped by SIGTERM under load lose no request") {
    const auto deployed = start_small_deployment();
    load_run_options options;
    options.seconds = 5;
    int target_status = -1;
    int node_status = -1;
    options.action = [&] {
        deployed->signal_target(0, SIGTERM);
        target_status = deployed->wait_for_target(0, 10);
        deployed->signal_node(0, SIGTERM);
        node_status = deployed->wait_for_node(0, 10);
    };
    const auto run = run_load(*deployed, options);
    check_guarantees(run);
    CHECK(target_status == 0);
    CHECK(node_status == 0);
    CHECK(run.interrupted_attempts() == 0);
    CHECK(run.count("done") == run.samples.size());
}

// Guards against a second execution when the owner of request keys dies and clients repeat by key (P5).
TEST_CASE("a killed node causes no second execution of a non-idempotent request") {
    const auto deployed = start_small_deployment();
    load_run_options options;
    options.seconds = 4;
    options.action = [&] {
        deployed->signal_node(0, SIGKILL);
        deployed->wait_for_node(0, 10);
    };
    const auto run = run_load(*deployed, options);
    check_guarantees(run);
    CHECK(run.done_share("", 3) > 0.5);
}

// Guards against nodes that keep sending to a paused node, and against a resumed node that runs
// calls that were reported as not run, or runs a non-idempotent call a second time.
TEST_CASE("a paused node is routed around and resumes harmlessly") {
    const auto deployed = start_small_deployment();
    load_run_options options;
    options.seconds = 9;
    options.entries = nodes_without(*deployed, 0);
    options.action = [&] {
        deployed->signal_node(0, SIGSTOP);
        std::this_thread::sleep_for(std::chrono::seconds{5});
        deployed->signal_node(0, SIGCONT);
    };
    const auto run = run_load(*deployed, options);
    check_guarantees(run);
    CHECK(run.done_share("", 4, 6) > 0.8);
    CHECK(run.done_share("", 7) > 0.8);
}

// Guards against a domain that stops serving its own targets when it is cut off, or doesn't rejoin (§1.5).
TEST_CASE("a domain that is cut off serves its own targets and rejoins") {
    const auto deployed = start_small_deployment(true);
    load_run_options options;
    options.seconds = 8;
    options.retry_policy.retries = 2;
    options.action = [&] {
        CHECK(deployed->set_faults(deployed->partition_rules("south-a")));
        std::this_thread::sleep_for(std::chrono::seconds{6});
        CHECK(deployed->set_faults(nlohmann::json::array()));
    };
    check_guarantees(run_load(*deployed, options));
    for (std::size_t n = 0; n < deployed->vms().size(); ++n) {
        CHECK(deployed->wait_until_up(n, 10));
    }
    load_run_options after;
    const auto run = run_load(*deployed, after);
    check_guarantees(run);
    CHECK(run.done_share() > 0.95);
}

// Guards against a node that sends a request again after a broken connection, although the target may have
// run it (P5). The outcome has to be unknown.
TEST_CASE("a connection cut after the request was sent causes no second execution") {
    auto& deployed = shared_deployment();
    const auto port = GENERATE(call_port, target_port);
    REQUIRE(deployed.set_faults(fault_rule(port, "cut_after_request", 0.2)));
    load_run_options options;
    options.retry_policy.retries = 2;
    const auto run = run_load(deployed, options);
    check_guarantees(run);
    CHECK(deployed.fault_counts().value("cut-after-request", 0) > 0);
    CHECK(run.count("unknown") > 0);
}

// Guards against an answer that arrived only in part being passed on as done (P3).
TEST_CASE("truncated answers never reach a caller as done") {
    auto& deployed = shared_deployment();
    REQUIRE(deployed.set_faults(fault_rule(target_port, "half_answer", 0.2)));
    load_run_options options;
    options.retry_policy.retries = 2;
    const auto run = run_load(deployed, options);
    check_guarantees(run);
    CHECK(deployed.fault_counts().value("half-answer", 0) > 0);
    CHECK(run.count("unknown") > 0);
}

// Guards against bytes that are not HTTP disturbing a node or being passed on as an answer (P3).
TEST_CASE("garbage answers never reach a caller as done") {
    auto& deployed = shared_deployment();
    REQUIRE(deployed.set_faults(fault_rule(target_port, "garbage_answer", 0.2)));
    load_run_options options;
    options.retry_policy.retries = 2;
    const auto run = run_load(deployed, options);
    check_guarantees(run);
    CHECK(deployed.fault_counts().value("garbage-answer", 0) > 0);
}

// Guards against retries that multiply under overload (P1), and important requests that are refused before
// less important ones (P2).
TEST_CASE("a load surge with aggressive retries keeps the retry bound and the shedding order") {
    const auto deployed = start_small_deployment();
    load_run_options options;
    options.demand = 3;
    options.retry_policy = aggressive_retries;
    const auto run = run_load(*deployed, options);
    check_guarantees(run);
    CHECK(run.done_share("purchase") >= run.done_share("download"));
}

// Guards against calls lost or run twice when a target dies, and against a target that doesn't come back.
TEST_CASE("a killed target costs only its own calls and serves again after its restart") {
    const auto deployed = start_small_deployment();
    load_run_options options;
    options.seconds = 6;
    options.action = [&] {
        deployed->signal_target(0, SIGKILL);
        deployed->wait_for_target(0, 10);
        std::this_thread::sleep_for(std::chrono::seconds{1});
        CHECK(deployed->restart_target(0));
    };
    check_guarantees(run_load(*deployed, options));
    CHECK(deployed->wait_until_up(0, 10));
    load_run_options after;
    const auto run = run_load(*deployed, after);
    check_guarantees(run);
    CHECK(run.done_share() > 0.95);
}
