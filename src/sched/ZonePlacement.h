#pragma once

#include "briarhitch/sched/PoolScheduler.h"
#include "briarhitch/zone/ZoneSpill.h"
#include "sched/SlotTarget.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** The slot policy's view of availability zones: feeds ZoneSpill and applies its decisions. Does nothing if the setting is off. */
class ZonePlacement {
public:
    explicit ZonePlacement(const ZoneSpillSettings& settings);

    /** Whether zones restrict the targets of the request. Migrations and suspects have rules of their own. */
    [[nodiscard]] bool appliesTo(const PoolRequest& request) const;
    [[nodiscard]] bool isEnabled() const { return spill_.has_value(); }

    void recordArrival(const ZoneSpillRequest& request);
    void recordQueued(const PoolRequest& request, double costMs);
    void recordDequeued(const PoolRequest& request, double costMs);
    void recordOccupied(const PoolRequest& request, const Target& target);
    void recordReleased(const PoolRequest& request, const Target& target);
    void recordGrant(const PoolRequest& request, const Target& target, Instant now);

    /** Starts an observation of all targets, and a pass over the queue. */
    void beginPass();
    /** A target that accepts requests; `speed` is relative to the pool's mean. */
    void addTarget(const SlotTarget& target, double speed, double serviceMs, bool hasFreeSlot);
    void endObservation(Instant now);
    /** The request stays queued in this pass; it goes before later ones of its zone. */
    void recordWaiting(const PoolRequest& request, double costMs);
    /** Whether it has a free slot at home or may leave. Examines a limited number of requests of each pass. */
    [[nodiscard]] bool mayBeGranted(const ZoneSpillRequest& request, Instant now);
    /** Zones that the request may be sent to, in order; remembers the loss at home for recordGrant(). */
    [[nodiscard]] std::vector<ZoneOption> options(ZoneSpillRequest request, Instant now);
    /** Longest expected wait at home, behind all queued requests of the zone; none if no target there can run the request. */
    [[nodiscard]] std::optional<double> longestHomeWaitMs(ZoneSpillRequest request, Instant now) const;
    [[nodiscard]] double lossAtHome() const { return lossAtHome_; }
    std::vector<ZoneSpillEvent> takeEvents();

private:
    struct Zone {
        ZoneObservation observation;
        /** Sums over the slots of the zone, not weighted by speed. */
        double serviceMsSum { 0 };
        double plainSlots { 0 };
        uint32_t foreignRunning { 0 };
        size_t queued { 0 };
        double queuedMs { 0 };
        /** Requests of the zone that stay queued in this pass. */
        double waitingMs { 0 };
    };

    std::optional<ZoneSpill> spill_;
    std::map<std::string, Zone> zones_;
    size_t examined_ { 0 };
    double lossAtHome_ { 0 };
};

}
