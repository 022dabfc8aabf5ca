#pragma once

#include "nodestate.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace baobabswitch {

/// A call on its way from this node to the nodes beside the targets of a service, with its retries.
class outgoing_call : public std::enable_shared_from_this<outgoing_call> {
public:
    using callback = std::function<void(call_outcome)>;

    outgoing_call(node_state& node, call_info info, retry_ledger ledger, callback on_done);

    /// Sends the first attempt. The callback runs exactly once, possibly before this returns.
    void start();
    /// Gives the call up; nobody waits for its answer any more. The callback still runs.
    void cancel();

private:
    bool passes_threshold();
    void report_to_parent();
    void attempt();
    void on_result(const std::string& target, unsigned loan, time_point sent_at, http_result outcome);
    void on_not_run(call_outcome outcome);
    void on_unknown(call_outcome outcome);
    void finish(call_outcome outcome);
    bool may_retry();

    node_state& node_;
    call_info info_;
    retry_ledger ledger_;
    callback on_done_;
    std::vector<std::string> tried_;
    unsigned local_retries_ = 0; ///< baselines only
    http_client::exchange_id exchange_ = 0;
    bool sent_once_ = false; ///< an attempt may have run
    bool finished_ = false;
    bool cancelled_ = false;
};

} // namespace baobabswitch
