#pragma once

#include "briarhitch/core/Clock.h"

#include <memory>
#include <vector>

namespace briarhitch {

class Loop;

/** An event that fibers can wait for. Used on the loop's thread only. */
class FiberEvent {
public:
    explicit FiberEvent(Loop& loop);
    ~FiberEvent();
    FiberEvent(const FiberEvent&) = delete;
    FiberEvent& operator=(const FiberEvent&) = delete;

    /** Wakes all waiting fibers; later waits return at once until reset(). */
    void set();
    void reset();
    [[nodiscard]] bool isSet() const { return set_; }
    void wait();
    /** False on timeout. */
    bool waitFor(Duration timeout);

private:
    struct Waiter;
    void removeWaiter(const std::shared_ptr<Waiter>& waiter);

    Loop& loop_;
    bool set_ { false };
    std::vector<std::shared_ptr<Waiter>> waiters_;
};

}
