#pragma once

#include "load/LoadRequest.h"

#include <array>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace briarhitch {

/** Counts outcomes and writes the journal, which can be compared with the targets' ledgers. */
class LoadTally {
public:
    explicit LoadTally(const LoadPlan& plan);

    void addSkipped() { ++skipped_; }
    /** All sendings of one request; the last one is its outcome. */
    void add(const LoadRequest& request, const std::vector<LoadOutcome>& sendings);
    [[nodiscard]] uint64_t wrong() const { return wrong_; }
    [[nodiscard]] std::string toJson(Duration elapsed) const;

private:
    struct TierCount {
        uint64_t offered { 0 };
        /** Right and within the deadline. */
        uint64_t good { 0 };
    };

    [[nodiscard]] bool isInTime(const LoadRequest& request, const LoadOutcome& outcome) const;
    void writeJournal(const LoadRequest& request, const std::vector<LoadOutcome>& sendings);

    const LoadPlan& plan_;
    std::ofstream journal_;
    uint64_t offered_ { 0 };
    uint64_t answered_ { 0 };
    uint64_t wrong_ { 0 };
    uint64_t broken_ { 0 };
    uint64_t unreachable_ { 0 };
    uint64_t resent_ { 0 };
    uint64_t skipped_ { 0 };
    std::array<TierCount, Tier::count> tiers_ {};
    std::map<std::string, TierCount> customers_;
    /** Refusals by kind and by whether the request ran. */
    std::map<std::string, std::map<std::string, uint64_t>> refused_;
    std::map<std::string, std::vector<double>> latencies_;
};

}
