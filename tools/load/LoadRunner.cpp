#include "load/LoadRunner.h"

#include "briarhitch/runtime/Loop.h"

#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration resendDelay = 300ms;

    /** Whether a caller that must know the outcome would send the request again. */
    bool isOutcomeOpen(const LoadOutcome& outcome)
    {
        return outcome.verdict == LoadVerdict::Broken || (outcome.verdict == LoadVerdict::Refused && outcome.errorKind == "run_in_progress");
    }

}

LoadRunner::LoadRunner(Loop& loop, const LoadPlan& plan, LoadTally& tally)
    : loop_(loop)
    , plan_(plan)
    , tally_(tally)
    , client_(loop)
    , random_(plan.seed)
    , idle_(loop)
{
}

void LoadRunner::run()
{
    auto started = BootClock::now();
    auto next = started;
    uint64_t number = 0;
    while (number < plan_.maxRequests && next - started < plan_.maxTime) {
        auto now = BootClock::now();
        if (next > now)
            sleepFor(loop_, next - now);
        for (uint64_t left = plan_.burst; left > 0 && number < plan_.maxRequests; --left)
            offer(++number);
        double meanGap = static_cast<double>(plan_.burst) / plan_.rate;
        next += fromSeconds(-std::log(1 - random_.unit()) * meanGap);
    }
    while (inFlight_ > 0) {
        idle_.reset();
        idle_.wait();
    }
}

void LoadRunner::offer(uint64_t number)
{
    // Drawn before anything else, so that one seed gives the same requests on every machine.
    auto request = drawRequest(plan_, number, random_);
    if (inFlight_ >= plan_.maxInFlight) {
        tally_.addSkipped();
        return;
    }
    ++inFlight_;
    loop_.spawn([this, request] {
        sendUntilKnown(request);
        if (--inFlight_ == 0)
            idle_.set();
    });
}

void LoadRunner::sendUntilKnown(const LoadRequest& request)
{
    std::vector<LoadOutcome> sendings;
    int resends = request.kind == LoadKind::Charge ? plan_.chargeResends : 0;
    size_t otherEntries = plan_.entries.size() - 1;
    for (size_t entry = request.entry;; ++entry) {
        sendings.push_back(sendRequest(client_, plan_, request, entry % plan_.entries.size()));
        // As a load balancer does, tries each other entry once if one cannot be reached.
        if (sendings.back().verdict == LoadVerdict::Unreachable && otherEntries > 0) {
            --otherEntries;
            continue;
        }
        if (!isOutcomeOpen(sendings.back()) || resends-- == 0)
            break;
        sleepFor(loop_, resendDelay);
    }
    tally_.add(request, sendings);
}

}
