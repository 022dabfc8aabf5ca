#include "routing.h"

#include <algorithm>
#include <cctype>
#include <cmath>

namespace baobabswitch {

namespace {

/// Fractional part of the golden ratio: multiples of it cover [0, 1) evenly.
constexpr double golden_fraction = 0.6180339887498949;

std::string normalize_host(std::string_view host) {
    std::string buf{host.substr(0, host.find(':'))};
    std::transform(buf.begin(), buf.end(), buf.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return buf;
}

} // namespace

route_table::route_table(const mesh_config& config) {
    for (std::size_t n = 0; n < config.routes.size(); ++n) {
        by_host_[normalize_host(config.routes[n].host)].push_back({config.routes[n].path_prefix, n});
    }
    for (auto& [host, entries] : by_host_) {
        std::stable_sort(entries.begin(), entries.end(),
                         [](const entry& a, const entry& b) { return a.prefix.size() > b.prefix.size(); });
    }
}

std::size_t route_table::find(std::string_view host, std::string_view path) const {
    const auto found = by_host_.find(normalize_host(host));
    if (found == by_host_.end()) {
        return npos;
    }
    for (const auto& it : found->second) {
        if (path.starts_with(it.prefix)) {
            return it.index;
        }
    }
    return npos;
}

const std::string& choose_service(const route& it, std::uint64_t n) {
    double total = 0;
    for (const auto& part : it.parts) {
        total += part.weight;
    }
    double whole = 0;
    double position = std::modf(static_cast<double>(n) * golden_fraction, &whole) * total;
    for (const auto& part : it.parts) {
        position -= part.weight;
        if (position < 0) {
            return part.service;
        }
    }
    return it.parts.back().service;
}

double max_admission_level(const mesh_config& config) {
    unsigned largest = 0;
    for (const auto& it : config.routes) {
        largest = std::max(largest, it.rank);
    }
    return largest + 1.0;
}

} // namespace baobabswitch
