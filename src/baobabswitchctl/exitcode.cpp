#include "exitcode.h"

namespace baobabswitch {

exit_code exit_code_of(const error& err) {
    switch (err.kind) {
    case error_kind::bad_settings:
    case error_kind::malformed:
        return exit_code::usage;
    case error_kind::bad_document:
    case error_kind::too_large:
        return exit_code::invalid;
    case error_kind::conflict:
        return exit_code::conflict;
    case error_kind::outcome_unknown:
        return exit_code::unknown;
    case error_kind::store_unavailable:
        return exit_code::unavailable;
    case error_kind::unauthorized:
        return exit_code::unauthorized;
    case error_kind::not_found:
        return exit_code::not_found;
    default:
        return exit_code::failed;
    }
}

} // namespace baobabswitch
