#include "briarhitch/entry/LoadPoller.h"

#include "briarhitch/core/Digest.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <string>

namespace briarhitch {

namespace {

    constexpr int okStatus = 200;
    constexpr size_t maxMetricsBytes = 1024 * 1024;
    constexpr double maxRequestCount = 1e9;

    /** Parses "name{labels} value", ignoring the labels; false for comments and other lines. */
    bool parseSample(std::string_view line, std::string_view& name, double& value)
    {
        if (line.empty() || line.front() == '#')
            return false;
        auto nameEnd = line.find_first_of("{ ");
        auto valueStart = line.find_last_of(' ');
        if (nameEnd == std::string_view::npos || valueStart == std::string_view::npos)
            return false;
        name = line.substr(0, nameEnd);
        std::string text(line.substr(valueStart + 1));
        char* end = nullptr;
        value = std::strtod(text.c_str(), &end);
        return end != text.c_str() && std::isfinite(value) && value >= 0;
    }

    uint32_t toCount(double value)
    {
        return static_cast<uint32_t>(std::min(value, maxRequestCount));
    }

    uint64_t rendezvousRank(NodeId node, TargetId target)
    {
        return stableHash(std::to_string(node.value()) + "/" + std::to_string(target.value()));
    }

}

bool readLoad(std::string_view prometheusText, LoadReport& report)
{
    bool hasRunning = false;
    while (!prometheusText.empty()) {
        auto end = std::min(prometheusText.find('\n'), prometheusText.size());
        std::string_view name;
        double value = 0;
        if (parseSample(prometheusText.substr(0, end), name, value)) {
            if (name == "engine_requests_running" || name == "service_requests_running") {
                report.running = toCount(value);
                hasRunning = true;
            } else if (name == "engine_requests_waiting" || name == "service_requests_waiting") {
                report.waiting = toCount(value);
            } else if (name == "engine_cache_usage") {
                report.cacheUsage = std::min(value, 1.0);
            }
        }
        prometheusText.remove_prefix(std::min(end + 1, prometheusText.size()));
    }
    return hasRunning;
}

LoadPoller::LoadPoller(LoadPollerSettings settings, LoadPollerHooks hooks)
    : settings_(std::move(settings))
    , hooks_(std::move(hooks))
{
}

std::vector<Target> LoadPoller::targetsToPoll(const ClusterConfig& config) const
{
    std::vector<NodeId> nodes;
    for (const auto& [id, node] : config.nodes) {
        if (!node.lost && node.region == settings_.region)
            nodes.push_back(id);
    }
    std::vector<Target> chosen;
    for (const auto& entry : config.targets) {
        const auto& target = entry.second;
        if (target.state == TargetState::Retired || target.region != settings_.region)
            continue;
        auto best = std::max_element(nodes.begin(), nodes.end(), [&](NodeId left, NodeId right) { return rendezvousRank(left, target.id) < rendezvousRank(right, target.id); });
        if (best != nodes.end() && *best == settings_.self)
            chosen.push_back(target);
    }
    return chosen;
}

void LoadPoller::poll(const Target& target) const
{
    HttpCallSettings settings;
    settings.host = target.host;
    settings.port = target.port;
    settings.target = "/metrics";
    settings.connectTimeout = settings_.timeout;
    settings.headerTimeout = settings_.timeout;
    settings.maxResponseBytes = maxMetricsBytes;
    LoadReport report;
    report.pool = target.pool;
    report.target = target.id;
    auto response = hooks_.fetch(settings);
    report.reachable = response.has_value();
    // Without readable metrics no report is sent; the owner treats that like a lost report.
    if (response && (response->status != okStatus || !readLoad(response->body, report)))
        return;
    hooks_.report(report);
}

}
