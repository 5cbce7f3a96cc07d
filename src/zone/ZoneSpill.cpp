#include "briarhitch/zone/ZoneSpill.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>
#include <numeric>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // A jump of the demand is followed to 92 % within a second.
    constexpr double demandSeconds = 0.4;
    // The difference between the fast and the slow average is the trend.
    constexpr double slowDemandSeconds = 2;
    constexpr double spareSeconds = 0.3;
    // Shares are kept over this time; long enough for some requests of each zone pair.
    constexpr double sharesSeconds = 1;
    // Observations follow each decision; the averages need fewer updates.
    constexpr Duration minUpdateInterval = 10ms;
    constexpr Duration maxViewAge = 1s;
    constexpr Duration spillEndsAfter = 2s;
    // Time over which the trend is extrapolated, at least and at most.
    constexpr double minHorizonMs = 100;
    constexpr double maxHorizonMs = 2000;
    constexpr double defaultHorizonMs = 500;
    /** Standard deviation of an idle zone's demand, in slots. */
    constexpr double minDeviation = 0.5;
    // A response that misses its objective has about a third of its value; the slot policy uses the same figure.
    constexpr double objectiveMissLoss = 0.7;
    constexpr double deadlineMissLoss = 1.0;
    /** Loss by a first answer that uses the whole objective; makes a faster answer better among those in time. */
    constexpr double delayLoss = 0.1;
    /**
     * How much more a loss of the zone's own callers counts than one of others. With 1, three full zones exchanged more than
     * half of their requests.
     */
    constexpr double ownCallerFactor = 2;
    /** Upper limit of the harm that counts against a request that no target of its own zone can run. */
    constexpr double maxHarmWithoutHome = 0.9;
    // Gains below this are within the error of the estimates.
    constexpr double minBenefit = 0.005;
    constexpr double bytesPerMb = 1e6;
    // Most load peaks of more urgent work end before a waiting request is lost; the slot policy uses the same figure.
    constexpr double minFractionLeft = 0.25;
    /** Requests a second below which means are not used. */
    constexpr double minRate = 0.01;
    // Relative values of the tiers. The ratio of neighbours is small, so that many late requests of one tier count for more
    // than one of the next.
    constexpr std::array<double, Tier::count> tierValues { 1.0, 0.7, 0.5, 0.35 };
    // Limits of the slot time of a request, relative to the mean, as far as it counts towards the harm to others.
    constexpr double minRelativeSize = 0.5;
    constexpr double maxRelativeSize = 4;

    double gainFor(double seconds, double timeConstant) { return 1 - std::exp(-seconds / timeConstant); }

    /** Probability that an exponentially distributed time with this mean exceeds the limit. */
    double exceedanceProbability(double limitMs, double meanMs)
    {
        if (limitMs <= 0)
            return 1;
        return meanMs <= 0 ? 0 : std::exp(-limitMs / meanMs);
    }

    double relativeDelayLoss(double ms, double objectiveMs)
    {
        return objectiveMs > 0 ? delayLoss * std::min(1.0, ms / objectiveMs) : 0;
    }

    std::string formatReason(const char* format, double first, double second)
    {
        std::array<char, 160> text {};
        std::snprintf(text.data(), text.size(), format, first, second);
        return text.data();
    }

}

void ZoneSpill::Arrivals::add(const Arrivals& other, double factor)
{
    count += factor * other.count;
    costMs += factor * other.costMs;
    for (size_t tier = 0; tier < Tier::count; ++tier)
        costMsByTier[tier] += factor * other.costMsByTier[tier];
    value += factor * other.value;
    objectiveSlackMs += factor * other.objectiveSlackMs;
    deadlineSlackMs += factor * other.deadlineSlackMs;
}

double ZoneSpill::Arrivals::mean(double sum, double fallback) const { return count > minRate ? sum / count : fallback; }

double ZoneSpill::Zone::meanCostMs(double fallback) const { return rate.mean(rate.costMs, fallback); }
double ZoneSpill::Zone::trend() const { return (rate.costMs - slowCostMs) / 1000 / (slowDemandSeconds - demandSeconds); }

double ZoneSpill::Zone::fractionLeft(const ZoneSpillRequest& request) const
{
    // All requests that can meet their objective go before one that cannot, and otherwise those of more urgent tiers.
    bool isLate = request.objectiveMs <= request.firstAnswerMs;
    auto end = isLate ? rate.costMsByTier.end() : rate.costMsByTier.begin() + request.tier.value();
    double taken = std::accumulate(rate.costMsByTier.begin(), end, 0.0) / 1000 / observed.slots;
    return std::max(minFractionLeft, 1 - taken);
}

ZoneSpill::ZoneSpill(const ZoneSpillSettings& settings)
    : settings_(settings)
{
}

double ZoneSpill::valueOf(Tier tier) { return tierValues.at(tier.value()); }

bool ZoneSpill::isUsable(const Zone& zone, Instant now) const
{
    return zone.observedAt && now - *zone.observedAt <= maxViewAge && zone.observed.slots > 0;
}

double ZoneSpill::expectedDemand(const Zone& zone, double horizonMs)
{
    // A falling demand is not extrapolated: slots are given away only once they are free.
    return zone.demand() + std::max(0.0, zone.trend()) * std::clamp(horizonMs, minHorizonMs, maxHorizonMs) / 1000;
}

double ZoneSpill::reserveOf(const Zone& zone, double horizonMs)
{
    double ownSlots = zone.observed.slots - zone.observed.freeSlots - zone.observed.foreignSlots;
    return std::max(0.0, expectedDemand(zone, horizonMs) - std::max(0.0, ownSlots));
}

double ZoneSpill::spareOf(const Zone& zone, double horizonMs)
{
    return zone.observed.freeSlots - zone.sentHere - reserveOf(zone, horizonMs);
}

double ZoneSpill::saturationProbability(const Zone& zone, double horizonMs)
{
    // The number of slots that random arrivals use varies by about the square root of its mean.
    double deviation = std::max(minDeviation, std::sqrt(expectedDemand(zone, horizonMs)));
    double left = spareOf(zone, horizonMs) - 1;
    return 0.5 * std::erfc(left / deviation / std::sqrt(2.0));
}

double ZoneSpill::reservedSlots(const std::string& zone, double horizonMs) const
{
    auto it = zones_.find(zone);
    if (it == zones_.end())
        return 0;
    double expected = expectedDemand(it->second, horizonMs);
    return expected + std::max(minDeviation, std::sqrt(expected));
}

void ZoneSpill::updateDemand(Zone& zone, double seconds)
{
    double gain = gainFor(seconds, demandSeconds);
    zone.rate.add(zone.rate, -gain);
    zone.rate.add(zone.arrived, gain / seconds);
    zone.slowCostMs += gainFor(seconds, slowDemandSeconds) * (zone.arrived.costMs / seconds - zone.slowCostMs);
    zone.arrived = {};
    double spare = std::max(0.0, spareOf(zone, defaultHorizonMs));
    zone.spareSlots += gainFor(seconds, spareSeconds) * (spare - zone.spareSlots);
    for (auto& [to, sent] : zone.sentTo)
        sent *= std::exp(-seconds / sharesSeconds);
}

void ZoneSpill::observe(const std::vector<ZoneObservation>& zones, Instant now)
{
    for (const auto& observed : zones) {
        auto& zone = zones_[observed.zone];
        zone.observed = observed;
        zone.observedAt = now;
        zone.sentHere = 0;
    }
    if (!updatedAt_)
        updatedAt_ = now;
    if (now - *updatedAt_ < minUpdateInterval)
        return;
    double seconds = toSeconds(now - *updatedAt_);
    updatedAt_ = now;
    for (auto& [name, zone] : zones_)
        updateDemand(zone, seconds);
    endIdleSpills(now);
}

void ZoneSpill::recordArrival(const ZoneSpillRequest& request)
{
    Arrivals arrival { 1, request.costMs, {}, valueOf(request.tier), request.objectiveMs - request.firstAnswerMs, request.deadlineMs - request.firstAnswerMs };
    arrival.costMsByTier.at(request.tier.value()) = request.costMs;
    zones_[request.zone].arrived.add(arrival, 1);
}

void ZoneSpill::recordSent(const std::string& from, const std::string& to, double lossAtHome, Instant now)
{
    auto& sender = zones_[from];
    sender.sentTo[to] += 1;
    zones_[to].sentHere += 1;
    if (!sender.lastSent)
        events_.push_back({ from, true, formatReason("expected loss at home %.2f of a request's value, own demand %.1f slots", lossAtHome, sender.demand()) });
    sender.lastSent = now;
}

void ZoneSpill::endIdleSpills(Instant now)
{
    for (auto& [name, zone] : zones_) {
        if (!zone.lastSent || now - *zone.lastSent < spillEndsAfter)
            continue;
        zone.lastSent.reset();
        events_.push_back({ name, false, formatReason("no benefit in the last seconds: own demand %.1f of %.1f slots", zone.demand(), zone.observed.slots) });
    }
}

std::vector<ZoneSpillEvent> ZoneSpill::takeEvents()
{
    return std::exchange(events_, {});
}

bool ZoneSpill::hasHome(const ZoneSpillRequest& request, Instant now) const
{
    auto home = zones_.find(request.zone);
    return request.hasHomeTarget && home != zones_.end() && isUsable(home->second, now);
}

std::optional<double> ZoneSpill::homeWaitMs(const ZoneSpillRequest& request, Instant now) const
{
    if (!hasHome(request, now))
        return std::nullopt;
    const auto& home = zones_.at(request.zone);
    // The work ahead, and the rest of a running request, shared by the slots that later arrivals leave.
    return (request.aheadMs + home.meanCostMs(request.costMs)) / home.observed.slots / home.fractionLeft(request);
}

double ZoneSpill::lossAtHome(const ZoneSpillRequest& request, Instant now) const
{
    if (request.homeLoss)
        return *request.homeLoss;
    auto waitMs = homeWaitMs(request, now);
    if (!waitMs)
        return deadlineMissLoss;
    bool isTooSlow = request.maxServiceMs > 0 && zones_.at(request.zone).observed.serviceMs > request.maxServiceMs;
    return std::max(isTooSlow ? objectiveMissLoss : 0, waitLoss(request.objectiveMs - request.firstAnswerMs, request.deadlineMs - request.firstAnswerMs, *waitMs));
}

double ZoneSpill::waitLoss(double objectiveSlackMs, double deadlineSlackMs, double waitMs)
{
    double late = exceedanceProbability(objectiveSlackMs, waitMs);
    double refused = exceedanceProbability(deadlineSlackMs, waitMs);
    double loss = objectiveMissLoss * late + (deadlineMissLoss - objectiveMissLoss) * refused + relativeDelayLoss(waitMs, objectiveSlackMs);
    return std::min(deadlineMissLoss, loss);
}

double ZoneSpill::harmOf(const Zone& zone, const ZoneSpillRequest& request)
{
    double value = zone.rate.mean(zone.rate.value, 1);
    // The request takes the slot time of as many callers as it is large.
    double size = std::clamp(request.costMs / std::max(0.01, zone.meanCostMs(request.costMs)), minRelativeSize, maxRelativeSize);
    // With a queue, every slot that another zone takes makes a caller lose its answer in the end.
    if (zone.observed.queuedMs > 0)
        return ownCallerFactor * deadlineMissLoss * value * size;
    // If the zone fills up, the callers that it expects wait for each other until slots become free, and are served first.
    double holdMs = std::max(request.costMs, zone.meanCostMs(request.costMs));
    double waitMs = holdMs * (1 + expectedDemand(zone, request.costMs)) / zone.observed.slots;
    double loss = waitLoss(zone.rate.mean(zone.rate.objectiveSlackMs, request.objectiveMs), zone.rate.mean(zone.rate.deadlineSlackMs, request.deadlineMs), waitMs);
    return saturationProbability(zone, request.costMs) * ownCallerFactor * loss * value * size;
}

std::vector<ZoneOption> ZoneSpill::options(const ZoneSpillRequest& request, Instant now) const
{
    std::vector<ZoneOption> result;
    double home = lossAtHome(request, now);
    if (home < minBenefit)
        return result;
    double value = valueOf(request.tier);
    double delayMs = 2 * toSeconds(settings_.delay) * 1000;
    // A first answer that is late only because of the delay loses what the objective is worth.
    double left = request.objectiveMs - request.firstAnswerMs;
    double ownLoss = left > 0 && left < delayMs ? objectiveMissLoss : relativeDelayLoss(delayMs, request.objectiveMs);
    double traffic = settings_.costPerMb * request.bytes / bytesPerMb / value;
    // Callers without any target at home compete with the other zone's own callers; otherwise nobody would serve them.
    double maxHarm = hasHome(request, now) ? std::numeric_limits<double>::infinity() : maxHarmWithoutHome;
    // Shares are those of all usable zones, so that they do not depend on the single request.
    double spareSlots = 0;
    for (const auto& [name, zone] : zones_)
        spareSlots += name != request.zone && isUsable(zone, now) ? zone.spareSlots : 0;
    double sent = 1;
    auto from = zones_.find(request.zone);
    if (from != zones_.end()) {
        for (const auto& [to, count] : from->second.sentTo)
            sent += count;
    }
    std::vector<std::pair<double, ZoneOption>> ordered;
    for (const auto& [name, zone] : zones_) {
        if (name == request.zone || !isUsable(zone, now) || zone.observed.freeSlots - zone.sentHere <= 0)
            continue;
        double harm = std::min(maxHarm, harmOf(zone, request) / value);
        double added = ownLoss + traffic + harm;
        if (home - added < minBenefit)
            continue;
        double share = spareSlots > 0 ? zone.spareSlots / spareSlots : 0;
        double sentThere = 0;
        if (from != zones_.end() && from->second.sentTo.contains(name))
            sentThere = from->second.sentTo.at(name);
        ordered.emplace_back(share * sent - sentThere, ZoneOption { name, share, added, home - added });
    }
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    for (auto& [deficit, option] : ordered)
        result.push_back(std::move(option));
    return result;
}

}
