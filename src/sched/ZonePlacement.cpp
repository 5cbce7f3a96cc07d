#include "sched/ZonePlacement.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** Requests without a free slot at home that are examined per pass; bounds the time of a pass over a long queue. */
    constexpr size_t maxExaminedRequests = 512;

}

ZonePlacement::ZonePlacement(const ZoneSpillSettings& settings)
{
    if (settings.isEnabled)
        spill_.emplace(settings);
}

bool ZonePlacement::appliesTo(const PoolRequest& request) const
{
    return spill_ && !request.zone.empty() && !request.migratesFrom.isValid() && !request.mayCrashTarget;
}

void ZonePlacement::recordArrival(const ZoneSpillRequest& request)
{
    if (spill_ && !request.zone.empty())
        spill_->recordArrival(request);
}

void ZonePlacement::recordQueued(const PoolRequest& request, double costMs)
{
    if (!spill_)
        return;
    auto& zone = zones_[request.zone];
    ++zone.queued;
    zone.queuedMs += costMs;
}

void ZonePlacement::recordDequeued(const PoolRequest& request, double costMs)
{
    if (!spill_)
        return;
    auto& zone = zones_[request.zone];
    // The remainder of rounding must not look like a queue, which keeps other zones' requests away.
    zone.queuedMs = --zone.queued == 0 ? 0 : zone.queuedMs - costMs;
}

void ZonePlacement::recordOccupied(const PoolRequest& request, const Target& target)
{
    if (spill_ && request.zone != target.zone)
        ++zones_[target.zone].foreignRunning;
}

void ZonePlacement::recordReleased(const PoolRequest& request, const Target& target)
{
    if (!spill_ || request.zone == target.zone)
        return;
    // A target whose zone has changed since the grant is counted in neither zone.
    auto& running = zones_[target.zone].foreignRunning;
    running -= running > 0 ? 1 : 0;
}

void ZonePlacement::recordGrant(const PoolRequest& request, const Target& target, Instant now)
{
    if (!appliesTo(request))
        return;
    auto& zone = zones_[target.zone];
    zone.observation.freeSlots = std::max(0.0, zone.observation.freeSlots - 1);
    if (request.zone != target.zone)
        spill_->recordSent(request.zone, target.zone, lossAtHome_, now);
}

void ZonePlacement::beginPass()
{
    examined_ = 0;
    for (auto& [name, zone] : zones_) {
        zone.observation = { name, 0, 0, 0, 0, 0 };
        zone.serviceMsSum = zone.plainSlots = zone.waitingMs = 0;
    }
}

void ZonePlacement::addTarget(const SlotTarget& target, double speed, double serviceMs, bool hasFreeSlot)
{
    bool isBackedOff = target.outlierDetector.isBackedOff();
    if (!target.isActive() || (isBackedOff && !hasFreeSlot))
        return;
    auto& zone = zones_[target.target.zone];
    // A target that is backed off only takes probes, one at a time.
    double slots = isBackedOff ? 1 : target.slots();
    zone.observation.slots += slots * speed;
    zone.observation.freeSlots += hasFreeSlot ? std::min(slots, static_cast<double>(target.slots() - target.running)) * speed : 0;
    zone.serviceMsSum += slots * serviceMs;
    zone.plainSlots += slots;
}

void ZonePlacement::endObservation(Instant now)
{
    std::vector<ZoneObservation> observations;
    observations.reserve(zones_.size());
    for (auto& [name, zone] : zones_) {
        auto& observation = zone.observation;
        observation.zone = name;
        observation.queuedMs = zone.queuedMs;
        if (zone.plainSlots > 0) {
            observation.serviceMs = zone.serviceMsSum / zone.plainSlots;
            observation.foreignSlots = std::min(zone.foreignRunning * observation.slots / zone.plainSlots, observation.slots - observation.freeSlots);
        }
        observations.push_back(observation);
    }
    spill_->observe(observations, now);
}

void ZonePlacement::recordWaiting(const PoolRequest& request, double costMs)
{
    if (appliesTo(request))
        zones_[request.zone].waitingMs += costMs;
}

bool ZonePlacement::mayBeGranted(const ZoneSpillRequest& request, Instant now)
{
    auto home = zones_.find(request.zone);
    if (home != zones_.end() && home->second.observation.freeSlots > 0)
        return true;
    return ++examined_ <= maxExaminedRequests && !options(request, now).empty();
}

std::vector<ZoneOption> ZonePlacement::options(ZoneSpillRequest request, Instant now)
{
    if (auto home = zones_.find(request.zone); home != zones_.end())
        request.aheadMs = home->second.waitingMs;
    lossAtHome_ = spill_->lossAtHome(request, now);
    return spill_->options(request, now);
}

std::optional<double> ZonePlacement::longestHomeWaitMs(ZoneSpillRequest request, Instant now) const
{
    if (auto home = zones_.find(request.zone); home != zones_.end())
        request.aheadMs = home->second.queuedMs;
    return spill_->homeWaitMs(request, now);
}

std::vector<ZoneSpillEvent> ZonePlacement::takeEvents()
{
    return spill_ ? spill_->takeEvents() : std::vector<ZoneSpillEvent> {};
}

}
