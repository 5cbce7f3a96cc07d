#pragma once

#include "briarhitch/runtime/FiberEvent.h"
#include "load/LoadTally.h"

namespace briarhitch {

class Loop;

/** Sends requests at the times that the plan gives, whether or not earlier ones are answered. */
class LoadRunner {
public:
    LoadRunner(Loop& loop, const LoadPlan& plan, LoadTally& tally);

    /** Blocks the fiber until every request has its outcome. */
    void run();

private:
    void offer(uint64_t number);
    void sendUntilKnown(const LoadRequest& request);

    Loop& loop_;
    const LoadPlan& plan_;
    LoadTally& tally_;
    HttpClient client_;
    Random random_;
    size_t inFlight_ { 0 };
    FiberEvent idle_;
};

}
