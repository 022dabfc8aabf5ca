#include "summary.h"

#include "measures.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <map>
#include <optional>
#include <sstream>
#include <vector>

namespace baobabswitch {

namespace {

using json = nlohmann::json;

constexpr std::array policies{"baobabswitch", "static", "direct"};

struct figure {
    const char* title;
    const char* pointer; ///< JSON pointer into a report
};

constexpr std::array figures{
    figure{"goodput at 0.5 x capacity, 1/s", "/measures/goodput/levels/0/goodput_per_second"},
    figure{"goodput at 1 x capacity, 1/s", "/measures/goodput/levels/1/goodput_per_second"},
    figure{"goodput at 2 x capacity, 1/s", "/measures/goodput/levels/2/goodput_per_second"},
    figure{"goodput at 5 x capacity, 1/s", "/measures/goodput/levels/3/goodput_per_second"},
    figure{"goodput at 2 x as a share of that at 1 x",
           "/measures/goodput/levels/2/share_of_goodput_at_capacity"},
    figure{"recovery after the surge, s", "/measures/recovery/seconds"},
    figure{"share served during the surge", "/measures/recovery/share_during_surge"},
    figure{"crest: most important kind, planned", "/measures/crest/planned"},
    figure{"crest: most important kind, refused", "/measures/crest/refused"},
    figure{"crest: most important kind, served in time", "/measures/crest/served"},
    figure{"short behind long: p99 ratio", "/measures/short_behind_long/ratio"},
    figure{"one slowed target: p99 ratio", "/measures/slow_target/ratio"},
    figure{"one slowed target: p99 ratio after 2 s", "/measures/slow_target/ratio_after_2_s"},
    figure{"executions", "/executions/executions"},
    figure{"retries (executions minus distinct calls)", "/executions/retries"},
    figure{"most retries of one request", "/executions/max_retries_per_request"},
    figure{"repeated executions of non-idempotent calls", "/executions/non_idempotent_repeats"},
    figure{"reported as not run, but executed", "/not_run_but_executed"},
    figure{"invariants violated", "/invariants/violated"},
    figure{"node CPU, mean, %", "/cost/cpu_percent_mean"},
    figure{"node memory, max, MB", "/cost/resident_mb_max"},
    figure{"control bytes/s per node, mean", "/cost/control_bytes_per_second_mean"},
    figure{"send lag of the load generator, p99, ms", "/precision/send_lag_p99_ms"},
};

/// Reports of one workload by policy.
using report_group = std::map<std::string, std::vector<json>>;

std::string number_text(double value) {
    std::ostringstream out;
    const bool whole = value == static_cast<double>(static_cast<long long>(value));
    out << std::fixed << std::setprecision(whole ? 0 : 2) << value;
    return out.str();
}

/// Returns the median with the minimum and maximum, and the number of reports without a value.
std::string format_cell(const std::vector<json>& reports, const char* pointer) {
    std::vector<double> values;
    std::size_t missing = 0;
    for (const auto& it : reports) {
        const json::json_pointer field{pointer};
        if (it.contains(field) && it.at(field).is_number()) {
            values.push_back(it.at(field).get<double>());
        } else {
            ++missing;
        }
    }
    if (values.empty()) {
        return "none";
    }
    std::sort(values.begin(), values.end());
    std::string text = number_text(values.at(values.size() / 2));
    if (values.size() > 1) {
        text += " (" + number_text(values.front()) + " to " + number_text(values.back()) + ")";
    }
    return missing == 0 ? text : text + ", none in " + std::to_string(missing);
}

std::optional<double> median(const std::vector<json>& reports, const std::string& pointer) {
    std::vector<double> values;
    for (const auto& it : reports) {
        const json::json_pointer field{pointer};
        if (it.contains(field) && it.at(field).is_number()) {
            values.push_back(it.at(field).get<double>());
        }
    }
    if (values.empty()) {
        return std::nullopt;
    }
    return percentile(values, 0.5);
}

std::string seeds_of(const report_group& group) {
    std::string text;
    for (const auto& [policy, reports] : group) {
        text += (text.empty() ? "" : "; ") + policy + ":";
        for (const auto& it : reports) {
            text += ' ' + it.at("seed").dump();
        }
    }
    return text;
}

void write_markdown(std::ostream& out, const std::string& workload, const report_group& group) {
    out << "### " << workload << "\n\nSeeds: " << seeds_of(group) << ".\n\n| figure |";
    for (const auto* policy : policies) {
        out << ' ' << policy << " |";
    }
    out << "\n|---|---|---|---|\n";
    for (const auto& it : figures) {
        out << "| " << it.title << " |";
        for (const auto* policy : policies) {
            const auto found = group.find(policy);
            out << ' ' << (found == group.end() ? "not run" : format_cell(found->second, it.pointer)) << " |";
        }
        out << '\n';
    }
    out << '\n';
}

void write_html(std::ostream& out, const std::string& workload, const report_group& group) {
    out << "<h2>" << workload << "</h2><p>Seeds: " << seeds_of(group)
        << ". Median (minimum to maximum).</p>\n"
        << "<img src=\"goodput-" << workload << ".svg\" alt=\"goodput against demand\">"
        << "<img src=\"tail-" << workload
        << ".svg\" alt=\"tail latency ratios\">\n<table><tr><th>figure</th>";
    for (const auto* policy : policies) {
        out << "<th>" << policy << "</th>";
    }
    out << "</tr>\n";
    for (const auto& it : figures) {
        out << "<tr><td>" << it.title << "</td>";
        for (const auto* policy : policies) {
            const auto found = group.find(policy);
            out << "<td>" << (found == group.end() ? "not run" : format_cell(found->second, it.pointer))
                << "</td>";
        }
        out << "</tr>\n";
    }
    out << "</table>\n";
}

/// Writes the median goodput as a share of capacity: a line per level with a column per policy.
void write_goodput_data(const std::string& file_name, const report_group& group) {
    std::ofstream out{file_name};
    constexpr std::array levels{"0.5", "1", "2", "5"};
    for (std::size_t n = 0; n < levels.size(); ++n) {
        out << levels.at(n);
        for (const auto* policy : policies) {
            const auto found = group.find(policy);
            const auto value = found == group.end()
                                   ? std::nullopt
                                   : median(found->second, "/measures/goodput/levels/" + std::to_string(n) +
                                                               "/share_of_capacity");
            out << ' ' << (value ? std::to_string(*value) : "NaN");
        }
        out << '\n';
    }
}

/// Writes the medians of the p99 ratios: a line per policy with a column per ratio.
void write_tail_data(const std::string& file_name, const report_group& group) {
    std::ofstream out{file_name};
    for (const auto* policy : policies) {
        out << policy;
        const auto found = group.find(policy);
        for (const auto* pointer : {"/measures/short_behind_long/ratio", "/measures/slow_target/ratio",
                                    "/measures/slow_target/ratio_after_2_s"}) {
            const auto value = found == group.end() ? std::nullopt : median(found->second, pointer);
            out << ' ' << (value ? std::to_string(*value) : "NaN");
        }
        out << '\n';
    }
}

} // namespace

result<void> write_summary(const std::string& folder) {
    std::map<std::string, report_group> groups;
    std::error_code ec;
    for (const auto& it : std::filesystem::directory_iterator{folder, ec}) {
        if (it.path().extension() != ".json") {
            continue;
        }
        std::ifstream in{it.path()};
        auto report = json::parse(in, nullptr, false);
        if (report.is_object() && report.value("scenario", "") == "compare") {
            groups[report.value("workload", "")][report.value("policy", "")].push_back(std::move(report));
        }
    }
    if (groups.empty()) {
        return error{error_kind::not_found, "there is no report of the scenario \"compare\" in " + folder,
                     "run baobabswitch-bench run --scenario compare --report FOLDER/NAME.json first"};
    }
    std::ofstream markdown{folder + "/measurements.md"};
    std::ofstream html{folder + "/index.html"};
    html << "<!doctype html><meta charset=\"utf-8\"><title>baobabswitch measurements</title>\n"
            "<style>body{font-family:sans-serif}table{border-collapse:collapse}td,th{border:1px solid "
            "#ccc;padding:2px 8px;text-align:left}</style>\n<h1>baobabswitch measurements</h1>\n";
    for (auto& [workload, group] : groups) {
        for (auto& [policy, reports] : group) {
            std::sort(reports.begin(), reports.end(),
                      [](const json& a, const json& b) { return a.at("seed") < b.at("seed"); });
        }
        write_markdown(markdown, workload, group);
        write_html(html, workload, group);
        write_goodput_data(folder + "/goodput-" + workload + ".dat", group);
        write_tail_data(folder + "/tail-" + workload + ".dat", group);
    }
    return success();
}

} // namespace baobabswitch
