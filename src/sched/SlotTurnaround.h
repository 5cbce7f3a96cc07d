#pragma once

namespace briarhitch {

/**
 * The time for which a slot counts as occupied although its target is idle: while the grant travels to the entry, and its end
 * back to the owner. For short calls it is a large part of the slot's time, so a few requests more than there are slots keep
 * the target busy; they wait at the target for less than that time.
 */
class SlotTurnaround {
public:
    /** Both in milliseconds: how long the owner counted the slot as occupied, and how long the call took at the entry. */
    void addSample(double occupiedMs, double callMs);
    /** Requests that a target with this many slots may get beyond them; at most as many again. */
    [[nodiscard]] unsigned extraRequests(unsigned slots, double callMs) const;
    [[nodiscard]] double meanMs() const { return meanMs_; }

private:
    double meanMs_ { 0 };
};

}
