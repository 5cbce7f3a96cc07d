#pragma once

#include "briarhitch/http/HttpClient.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <string_view>
#include <vector>

namespace briarhitch {

struct LoadPollerSettings {
    NodeId self;
    std::string region;
    Duration timeout { std::chrono::seconds(1) };
};

struct LoadPollerHooks {
    std::function<Result<HttpResponse>(const HttpCallSettings&)> fetch;
    std::function<void(const LoadReport&)> report;
};

/** Polls the load metrics that targets publish; each target is polled by one node of its region. */
class LoadPoller {
public:
    LoadPoller(LoadPollerSettings settings, LoadPollerHooks hooks);

    /** Targets that this node polls, chosen by rendezvous hashing over the region's live nodes. */
    [[nodiscard]] std::vector<Target> targetsToPoll(const ClusterConfig& config) const;
    /** Polls one target and reports its load; blocks the calling fiber. */
    void poll(const Target& target) const;

private:
    LoadPollerSettings settings_;
    LoadPollerHooks hooks_;
};

/** Parses the running and waiting counts and the cache usage from Prometheus text; false without a running count. */
bool readLoad(std::string_view prometheusText, LoadReport& report);

}
