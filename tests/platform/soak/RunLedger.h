#pragma once

#include "briarhitch/core/Clock.h"

#include <map>
#include <string>
#include <vector>

namespace briarhitch::platform {

/** A target's work on one request. */
struct LedgerRun {
    std::string requestId;
    /** Id of the request that began the stream; empty for a request that is none. */
    std::string stream;
    std::string target;
    bool mayRunAgain { false };
    Instant begin;
    /** Instant::max() while it goes on. */
    Instant end { Instant::max() };
};

/** A time in which the rule on overlapping runs does not bind what an entry sent; without a name, it binds no entry. */
struct Disruption {
    std::string entry;
    Instant begin;
    Instant end;
};

/** What targets ran, and whether that keeps the rule that work runs once. Not synchronized. */
class RunLedger {
public:
    /** An entry is in touch again this long after its disruption, or one of the core, has ended. */
    static constexpr Duration stabilityWindow = std::chrono::seconds(3);

    size_t begin(LedgerRun run);
    void end(size_t run, Instant at);
    /** The entry that got the request. */
    void recordEntry(const std::string& requestId, const std::string& entry) { entries_[requestId] = entry; }
    /** The caller was told that the request has not run, and never will. */
    void recordNotRun(const std::string& requestId) { toldNotRun_.push_back(requestId); }

    /**
     * One text for each violation: a request that may run once and ran twice or was told not to have run; a stream that runs
     * at two targets `bound` after it went on at the second, though the entry that sent it to the first is in touch.
     */
    [[nodiscard]] std::vector<std::string> judge(const std::vector<Disruption>& disruptions, Duration bound) const;
    [[nodiscard]] const std::vector<LedgerRun>& runs() const { return runs_; }

private:
    [[nodiscard]] std::string judgeOverlap(const LedgerRun& earlier, const LedgerRun& later, const std::vector<Disruption>& disruptions, Duration bound) const;

    std::vector<LedgerRun> runs_;
    std::map<std::string, std::string> entries_;
    std::vector<std::string> toldNotRun_;
};

}
