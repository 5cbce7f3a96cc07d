#pragma once

#include "briarhitch/core/Units.h"
#include "briarhitch/zone/ZoneSpillSettings.h"

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** What the targets of a zone can do now. Slots are weighted by speed relative to the pool's mean. */
struct ZoneObservation {
    std::string zone;
    /** Of targets that accept requests; zero for a zone that is cut off. */
    double slots { 0 };
    double freeSlots { 0 };
    /** Slots that run requests of other zones. */
    double foreignSlots { 0 };
    /** Slot time of the zone's own requests that wait. */
    double queuedMs { 0 };
    /** Mean time of a request, or of an output token of an engine. */
    double serviceMs { 0 };
};

/** A request as ZoneSpill sees it; times are counted from now. */
struct ZoneSpillRequest {
    /** Zone of the entry. */
    std::string zone;
    Tier tier;
    /** Slot time on a target of mean speed. */
    double costMs { 0 };
    /** From its grant to its first answer. */
    double firstAnswerMs { 0 };
    double objectiveMs { 0 };
    double deadlineMs { 0 };
    /** Slowest service time that keeps the pauses within their objective; zero if unlimited. */
    double maxServiceMs { 0 };
    /** Transferred by the request and its answer. */
    double bytes { 0 };
    /** Slot time of the requests of its zone that go before it. */
    double aheadMs { 0 };
    /** Expected loss on the best free slot of its own zone; none if that zone has no free slot. */
    std::optional<double> homeLoss {};
    /** Whether any target of its own zone may run it. */
    bool hasHomeTarget { true };
};

/** A zone that the request may be sent to. Losses are multiples of the request's value. */
struct ZoneOption {
    std::string zone;
    /** Fraction of its zone's overflow that this zone should get. */
    double share { 0 };
    /** Loss by the delay, the cost of its bytes, and the harm to callers of this zone. */
    double addedLoss { 0 };
    /** Expected loss at home less the added loss; positive. */
    double benefit { 0 };
};

/**
 * Decides which requests leave their availability zone, and to which zones. A request leaves if its expected loss at home
 * exceeds the loss that it causes elsewhere. Does no I/O and reads no clock. See docs/design/zone-traffic.md.
 */
class ZoneSpill {
public:
    explicit ZoneSpill(const ZoneSpillSettings& settings);

    /** To be called at least every 50 ms; a zone that is not listed keeps its last observation until that is too old. */
    void observe(const std::vector<ZoneObservation>& zones, Instant now);
    /** A request arrived at an entry of its zone. */
    void recordArrival(const ZoneSpillRequest& request);
    /** A request was granted a target in another zone; `lossAtHome` explains the log line. */
    void recordSent(const std::string& from, const std::string& to, double lossAtHome, Instant now);
    /** Expected wait for a slot at home; none if no target there can run the request. */
    [[nodiscard]] std::optional<double> homeWaitMs(const ZoneSpillRequest& request, Instant now) const;
    /** Expected loss of the request if it stays in its zone, as a multiple of its value. */
    [[nodiscard]] double lossAtHome(const ZoneSpillRequest& request, Instant now) const;
    /** Other zones that the request may be sent to, in order of preference; none if it should stay. */
    [[nodiscard]] std::vector<ZoneOption> options(const ZoneSpillRequest& request, Instant now) const;
    /** Slots that the zone's own callers use or are expected to need over the next `horizonMs`, random variation included. */
    [[nodiscard]] double reservedSlots(const std::string& zone, double horizonMs) const;
    std::vector<ZoneSpillEvent> takeEvents();

private:
    struct Arrivals {
        double count { 0 };
        double costMs { 0 };
        std::array<double, Tier::count> costMsByTier {};
        double value { 0 };
        /** Time that they may wait for a slot until they miss their objective or deadline. */
        double objectiveSlackMs { 0 };
        double deadlineSlackMs { 0 };

        void add(const Arrivals& other, double factor);
        [[nodiscard]] double mean(double sum, double fallback) const;
    };
    struct Zone {
        ZoneObservation observed;
        std::optional<Instant> observedAt;
        /** Requests sent here by other zones since the observation. */
        double sentHere { 0 };
        /** Sums over the arrivals since the last update, and their averages per second with the fast time constant. */
        Arrivals arrived;
        Arrivals rate;
        /** Slot time per second with the slow time constant. */
        double slowCostMs { 0 };
        /** Damped number of slots that other zones may use. */
        double spareSlots { 0 };
        /** Decaying numbers of requests sent to other zones. */
        std::map<std::string, double> sentTo;
        std::optional<Instant> lastSent;

        /** Demand of the zone's own callers in slots, and its change per second. */
        [[nodiscard]] double demand() const { return rate.costMs / 1000; }
        [[nodiscard]] double trend() const;
        [[nodiscard]] double meanCostMs(double fallback) const;
        /** Fraction of the zone's slots that later arrivals do not take before the request. */
        [[nodiscard]] double fractionLeft(const ZoneSpillRequest& request) const;
    };

    [[nodiscard]] static double valueOf(Tier tier);
    [[nodiscard]] bool isUsable(const Zone& zone, Instant now) const;
    [[nodiscard]] static double expectedDemand(const Zone& zone, double horizonMs);
    [[nodiscard]] static double reserveOf(const Zone& zone, double horizonMs);
    /** Free slots that the zone's own callers are not expected to need. */
    [[nodiscard]] static double spareOf(const Zone& zone, double horizonMs);
    /** Probability that the zone's own callers need the slot while the request holds it. */
    [[nodiscard]] static double saturationProbability(const Zone& zone, double horizonMs);
    /** Expected loss of a request that waits this long on average. */
    [[nodiscard]] static double waitLoss(double objectiveSlackMs, double deadlineSlackMs, double waitMs);
    /** Loss of the zone's own callers by a slot that the request takes, in the unit of values. */
    [[nodiscard]] static double harmOf(const Zone& zone, const ZoneSpillRequest& request);
    [[nodiscard]] bool hasHome(const ZoneSpillRequest& request, Instant now) const;
    void updateDemand(Zone& zone, double seconds);
    void endIdleSpills(Instant now);

    ZoneSpillSettings settings_;
    std::map<std::string, Zone> zones_;
    std::optional<Instant> updatedAt_;
    std::vector<ZoneSpillEvent> events_;
};

}
