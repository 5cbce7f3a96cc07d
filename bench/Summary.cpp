#include "Summary.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <map>
#include <sstream>

namespace briarhitch::bench {

namespace {

    using Json = nlohmann::ordered_json;

    // The acceptance bars of the task; measurements are judged by them and never the other way round.
    constexpr double leastTopGoodput = 0.99;
    constexpr double mostWasted = 0.01;
    constexpr double wastedPartOfNaive = 0.1;
    constexpr double leastOtherKept = 0.95;
    constexpr double leastSmallKept = 0.98;

    std::string number(const Json& value, int digits = 3)
    {
        if (!value.is_number())
            return "–";
        char text[32];
        std::snprintf(text, sizeof(text), "%.*f", digits, value.get<double>());
        return text;
    }

    std::string percent(const Json& value)
    {
        return value.is_number() ? number(100 * value.get<double>(), 2) : "–";
    }

    std::string verdict(bool met, const std::string& figures)
    {
        return (met ? "" : "**missed** ") + figures;
    }

    /** All policies' measurements of one case and deployment. */
    using Group = std::map<std::string, Json>;

    std::vector<Group> groupsOf(const std::vector<Json>& measurements)
    {
        std::vector<std::string> order;
        std::map<std::string, Group> groups;
        for (const auto& measurement : measurements) {
            const std::string key = measurement["deployment"].get<std::string>() + " " + measurement["case"].get<std::string>();
            if (!groups.contains(key))
                order.push_back(key);
            groups[key][measurement["policy"]] = measurement;
        }
        std::vector<Group> result;
        result.reserve(order.size());
        for (const auto& key : order) {
            // A comparison needs all three.
            if (groups[key].size() == 3)
                result.push_back(groups[key]);
        }
        return result;
    }

    double bestBaseline(const Group& group, const char* field)
    {
        return std::max(group.at("naive")["goodput_by_tier"][field].get<double>(), group.at("two-choices")["goodput_by_tier"][field].get<double>());
    }

    std::string topVerdict(const Json& own)
    {
        const auto& top = own["goodput_by_tier"]["0"];
        if (!top.is_number())
            return "–";
        if (own["top_tier_load"].get<double>() > 1)
            return "does not fit, " + number(top);
        return verdict(top.get<double>() >= leastTopGoodput, number(top));
    }

    std::string allVerdict(const Group& group, const char* field)
    {
        const double own = group.at("briarhitch")["goodput_by_tier"][field].get<double>();
        const double best = bestBaseline(group, field);
        return verdict(own >= best, number(own) + " / " + number(best));
    }

    std::string wastedVerdict(const Group& group)
    {
        const auto& own = group.at("briarhitch");
        const double wasted = own["wasted_prefill"].get<double>();
        const double naive = group.at("naive")["wasted_prefill"].get<double>();
        const std::string name = own["case"];
        const bool isWithin = name == "engine-lost" || wasted <= mostWasted;
        return verdict(isWithin && wasted <= wastedPartOfNaive * naive, percent(own["wasted_prefill"]) + " / " + percent(group.at("naive")["wasted_prefill"]));
    }

    std::string leastVerdict(const Json& value, double least)
    {
        return value.is_number() ? verdict(value.get<double>() >= least, number(value)) : "–";
    }

    std::string rectangle(double x, double y, double width, double height, const char* color)
    {
        char text[160];
        std::snprintf(text, sizeof(text), "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\" fill=\"%s\"/>\n", x, y, width, height, color);
        return text;
    }

    std::string label(double x, double y, const std::string& content, const char* anchor = "start")
    {
        char text[256];
        std::snprintf(text, sizeof(text), "<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>\n", x, y, anchor, content.c_str());
        return text;
    }

}

std::vector<Json> readMeasurements(const std::string& path)
{
    std::vector<Json> measurements;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        auto json = Json::parse(line, nullptr, false);
        if (json.is_object())
            measurements.push_back(std::move(json));
    }
    return measurements;
}

std::string tableOf(const std::vector<Json>& measurements)
{
    std::ostringstream out;
    out << "| deployment | case | policy | off, floors | tier 0 | tier 1 | tier 2 | tier 3 | all | all by work | wasted % | other kept | small kept | p95 TTFT 0, s | p95 TTFT 3, s | late refusals | tier rule broken | ns a decision |\n";
    out << "|" << [] { std::string line; for (int i = 0; i < 18; ++i) line += "---|"; return line; }() << "\n";
    for (const auto& m : measurements) {
        const auto& goodput = m["goodput_by_tier"];
        std::string off;
        for (const auto& part : m["disabled"])
            off += (off.empty() ? "" : ", ") + part.get<std::string>();
        out << "| " << m["deployment"].get<std::string>() << " | " << m["case"].get<std::string>() << " | " << m["policy"].get<std::string>() << " | " << off;
        for (const auto& [kind, part] : m["floors"].items())
            out << " floor " << kind << " " << number(part, 2);
        for (const char* field : { "0", "1", "2", "3", "all", "all_by_work" })
            out << " | " << number(goodput[field]);
        out << " | " << percent(m["wasted_prefill"]) << " | " << number(m["other_kept"]) << " | " << number(m["small_vs_large"]["small_kept"])
            << " | " << number(m["ttft_p95"]["0"], 2) << " | " << number(m["ttft_p95"]["3"], 2) << " | " << number(m["late_refusals"], 0)
            << " | " << number(m["tier_rule_violations"], 0) << " | " << number(m["ns_per_decision"], 0) << " |\n";
    }
    return out.str();
}

std::string barsOf(const std::vector<Json>& measurements)
{
    std::ostringstream out;
    out << "| deployment | case | top tier ≥ 0.99 | all ≥ best baseline | the same by work | wasted %, own / naive | other kept ≥ 0.95 | small kept ≥ 0.98 |\n";
    out << "|---|---|---|---|---|---|---|---|\n";
    for (const auto& group : groupsOf(measurements)) {
        const auto& own = group.at("briarhitch");
        out << "| " << own["deployment"].get<std::string>() << " | " << own["case"].get<std::string>() << " | " << topVerdict(own) << " | " << allVerdict(group, "all")
            << " | " << allVerdict(group, "all_by_work") << " | " << wastedVerdict(group) << " | " << leastVerdict(own["other_kept"], leastOtherKept)
            << " | " << leastVerdict(own["small_vs_large"]["small_kept"], leastSmallKept) << " |\n";
    }
    return out.str();
}

std::string plotOf(const std::vector<Json>& measurements)
{
    constexpr double left = 210;
    constexpr double top = 46;
    constexpr double barHeight = 7;
    constexpr double rowHeight = 32;
    constexpr double chartWidth = 260;
    constexpr double gap = 40;
    constexpr std::array<std::pair<const char*, const char*>, 3> policies { { { "briarhitch", "#1b6ca8" }, { "naive", "#c4c4c4" }, { "two-choices", "#e0a458" } } };
    constexpr std::array<std::pair<const char*, const char*>, 2> charts { { { "0", "goodput of tier 0" }, { "all", "goodput of all tiers" } } };
    const auto groups = groupsOf(measurements);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << left + 2 * (chartWidth + gap) << "\" height=\"" << top + rowHeight * static_cast<double>(groups.size()) + 10
        << "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    for (size_t i = 0; i < policies.size(); ++i) {
        out << rectangle(left + static_cast<double>(i) * 100, 8, 10, 10, policies[i].second);
        out << label(left + static_cast<double>(i) * 100 + 14, 17, policies[i].first);
    }
    for (size_t chart = 0; chart < charts.size(); ++chart) {
        const double x = left + static_cast<double>(chart) * (chartWidth + gap);
        out << label(x, 36, charts[chart].second);
        for (size_t row = 0; row < groups.size(); ++row) {
            const double y = top + rowHeight * static_cast<double>(row);
            const auto& own = groups[row].at("briarhitch");
            if (chart == 0)
                out << label(left - 6, y + 15, own["deployment"].get<std::string>() + " " + own["case"].get<std::string>(), "end");
            for (size_t i = 0; i < policies.size(); ++i) {
                const auto& value = groups[row].at(policies[i].first)["goodput_by_tier"][charts[chart].first];
                if (value.is_number())
                    out << rectangle(x, y + static_cast<double>(i) * (barHeight + 1), std::max(0.5, chartWidth * value.get<double>()), barHeight, policies[i].second);
            }
        }
        out << rectangle(x + chartWidth, top - 4, 0.6, rowHeight * static_cast<double>(groups.size()), "#666666");
    }
    out << "</svg>\n";
    return out.str();
}

}
