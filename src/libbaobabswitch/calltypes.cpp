#include "calltypes.h"

namespace baobabswitch {

std::string_view outcome_name(outcome_kind kind) {
    switch (kind) {
    case outcome_kind::done:
        return "done";
    case outcome_kind::not_run:
        return "not-run";
    case outcome_kind::promised:
        return "promised";
    case outcome_kind::unknown:
        break;
    }
    return "unknown";
}

call_outcome make_failure(outcome_kind kind, error_kind cause, std::string message, std::string remedy) {
    call_outcome it;
    it.kind = kind;
    it.cause = error{cause, std::move(message), std::move(remedy)};
    return it;
}

} // namespace baobabswitch
