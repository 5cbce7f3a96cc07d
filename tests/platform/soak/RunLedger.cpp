#include "platform/soak/RunLedger.h"

#include <algorithm>
#include <utility>

namespace briarhitch::platform {

size_t RunLedger::begin(LedgerRun run)
{
    runs_.push_back(std::move(run));
    return runs_.size() - 1;
}

void RunLedger::end(size_t run, Instant at)
{
    runs_.at(run).end = at;
}

std::string RunLedger::judgeOverlap(const LedgerRun& earlier, const LedgerRun& later, const std::vector<Disruption>& disruptions, Duration bound) const
{
    auto known = entries_.find(earlier.requestId);
    auto entry = known == entries_.end() ? std::string() : known->second;
    auto judgedAt = later.begin + bound;
    for (bool hasMoved = true; hasMoved;) {
        hasMoved = false;
        for (const auto& disruption : disruptions) {
            bool concerns = disruption.entry.empty() || disruption.entry == entry;
            if (concerns && judgedAt >= disruption.begin && judgedAt < disruption.end + stabilityWindow) {
                judgedAt = disruption.end + stabilityWindow;
                hasMoved = true;
            }
        }
    }
    // Of two runs that begin at once, either may be the one that is stopped.
    if (earlier.end <= judgedAt || later.end <= judgedAt)
        return {};
    auto after = [&](Instant time) { return std::to_string(toMs(time - earlier.begin)) + " ms"; };
    auto end = earlier.end == Instant::max() ? std::string("it does not end") : "ended after " + after(earlier.end);
    return "stream " + earlier.stream + ": run of " + earlier.requestId + " at " + earlier.target + " through " + entry + " (" + end + ") beside the run of " + later.requestId + " at " + later.target + " that began after " + after(later.begin);
}

std::vector<std::string> RunLedger::judge(const std::vector<Disruption>& disruptions, Duration bound) const
{
    std::vector<std::string> violations;
    std::map<std::string, std::vector<const LedgerRun*>> streams;
    std::map<std::string, size_t> runsOfRequests;
    for (const auto& run : runs_) {
        if (!run.stream.empty())
            streams[run.stream].push_back(&run);
        if (!run.mayRunAgain && ++runsOfRequests[run.requestId] == 2)
            violations.push_back("request " + run.requestId + " may run once and ran twice");
    }
    for (const auto& id : toldNotRun_) {
        if (runsOfRequests.contains(id))
            violations.push_back("request " + id + " ran, and its caller was told that it did not");
    }
    for (const auto& [stream, runs] : streams) {
        for (const auto* earlier : runs) {
            for (const auto* later : runs) {
                if (later->begin <= earlier->begin || later->target == earlier->target)
                    continue;
                if (auto violation = judgeOverlap(*earlier, *later, disruptions, bound); !violation.empty())
                    violations.push_back(violation);
            }
        }
    }
    return violations;
}

}
