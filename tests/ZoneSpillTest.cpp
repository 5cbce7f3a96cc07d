#include "briarhitch/zone/ZoneSpill.h"

#include "briarhitch/core/Random.h"

#include <algorithm>
#include <deque>
#include <gtest/gtest.h>
#include <numeric>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /**
     * Zones with a queue each, whose requests take 100 to 300 ms on a target of mean speed and have an objective of 1 s and
     * a deadline of 2 s. Sends requests where ZoneSpill says.
     */
    struct Fleet {
        struct Waiting {
            Instant arrivedAt;
            double costMs;
        };
        struct Zone {
            double slots { 10 };
            double speed { 1 };
            /** Requests a second of its callers. */
            double rate { 0 };
            bool isCutOff { false };
            std::deque<Waiting> queue {};
            /** End, and whether the request is of another zone. */
            std::vector<std::pair<Instant, bool>> running {};
            int refused { 0 };
            int late { 0 };
            int served { 0 };
            std::map<std::string, int> sent {};

            [[nodiscard]] double free() const { return isCutOff ? 0 : slots - static_cast<double>(running.size()); }
            [[nodiscard]] int sentInAll() const
            {
                return std::accumulate(sent.begin(), sent.end(), 0, [](int sum, const auto& entry) { return sum + entry.second; });
            }
        };

        void step()
        {
            now += 10ms;
            for (auto& [name, zone] : zones) {
                std::erase_if(zone.running, [&](const auto& entry) { return entry.first <= now; });
                // Two draws, since a step may bring more than one request.
                for (int draw = 0; draw < 2; ++draw) {
                    if (!random.chance(zone.rate * 0.005))
                        continue;
                    zone.queue.push_back({ now, 100 + 200 * random.unit() });
                    spill.recordArrival({ name, Tier(1), zone.queue.back().costMs, 20, 1000, 2000 });
                }
            }
            observe();
            for (auto& [name, zone] : zones)
                dispatch(name, zone);
        }

        void observe()
        {
            std::vector<ZoneObservation> observations;
            for (const auto& [name, zone] : zones) {
                auto foreign = static_cast<double>(std::count_if(zone.running.begin(), zone.running.end(), [](const auto& entry) { return entry.second; }));
                double queuedMs = std::accumulate(zone.queue.begin(), zone.queue.end(), 0.0, [](double sum, const auto& entry) { return sum + entry.costMs; });
                double weight = zone.isCutOff ? 0 : zone.speed;
                observations.push_back({ name, zone.slots * weight, zone.free() * weight, foreign * weight, queuedMs, 200 / zone.speed });
            }
            spill.observe(observations, now);
        }

        void dispatch(const std::string& name, Zone& zone)
        {
            double aheadMs = 0;
            std::deque<Waiting> left;
            for (const auto& waiting : zone.queue) {
                auto deadline = waiting.arrivedAt + 2s;
                if (deadline <= now) {
                    ++zone.refused;
                    continue;
                }
                if (zone.free() >= 1) {
                    start(zone, zone, waiting);
                    continue;
                }
                ZoneSpillRequest request { name, Tier(1), waiting.costMs, 20, toSeconds(waiting.arrivedAt + 1s - now) * 1000, toSeconds(deadline - now) * 1000, 0, 2000, aheadMs, {} };
                auto options = spill.options(request, now);
                auto chosen = std::find_if(options.begin(), options.end(), [&](const auto& option) { return zones.at(option.zone).free() >= 1; });
                if (chosen == options.end()) {
                    aheadMs += waiting.costMs;
                    left.push_back(waiting);
                    continue;
                }
                spill.recordSent(name, chosen->zone, spill.lossAtHome(request, now), now);
                ++zone.sent[chosen->zone];
                start(zone, zones.at(chosen->zone), waiting);
            }
            zone.queue = std::move(left);
        }

        void start(Zone& from, Zone& to, const Waiting& waiting)
        {
            ++from.served;
            from.late += now - waiting.arrivedAt > 980ms ? 1 : 0;
            to.running.emplace_back(now + fromSeconds(waiting.costMs / to.speed / 1000), &from != &to);
        }

        void run(Duration time)
        {
            for (auto end = now + time; now < end;)
                step();
        }

        void resetCounts()
        {
            for (auto& [name, zone] : zones) {
                zone.refused = zone.late = zone.served = 0;
                zone.sent.clear();
            }
        }

        Instant now { 1h };
        ZoneSpill spill { { true, 0, 1400us } };
        Random random { 3 };
        std::map<std::string, Zone> zones;
    };

    Fleet fleetOf(const std::vector<double>& rates)
    {
        Fleet fleet;
        for (size_t i = 0; i < rates.size(); ++i)
            fleet.zones[std::string(1, static_cast<char>('a' + i))].rate = rates[i];
        return fleet;
    }

    ZoneSpillRequest overdueRequest(const std::string& zone)
    {
        // Behind so much work that it would miss its deadline at home.
        return { zone, Tier(1), 200, 20, 1000, 2000, 0, 100000, 1e6, {} };
    }

    // One zone with half more load than its ten slots, two idle ones of 10 and 30 slots. Guards against late answers beside
    // idle targets, and against an overflow that goes to one of them alone.
    TEST(ZoneSpillTest, OneZoneFullAndTwoIdle)
    {
        auto fleet = fleetOf({ 75, 0, 0 });
        fleet.zones["c"].slots = 30;
        fleet.run(10s);
        auto& full = fleet.zones["a"];
        EXPECT_EQ(full.refused, 0);
        EXPECT_EQ(full.late, 0);
        EXPECT_GT(full.sentInAll(), 150);
        EXPECT_NEAR(static_cast<double>(full.sent["c"]) / full.sentInAll(), 0.75, 0.1) << "in proportion to spare slots";
    }

    // Three zones with twice the load that they can serve. Guards against zones that exchange requests although none gains.
    TEST(ZoneSpillTest, AllFull)
    {
        auto fleet = fleetOf({ 100, 100, 100 });
        fleet.run(10s);
        for (const auto& [name, zone] : fleet.zones) {
            EXPECT_LT(zone.sentInAll(), zone.served / 20) << name;
            EXPECT_GT(zone.served, 450) << name;
        }
    }

    // A neighbour helps an overloaded zone while its own load rises from a fifth to all of its slots. Guards against callers
    // of the neighbour that are late because it serves others.
    TEST(ZoneSpillTest, NeighbourThatFillsUpWhileItHelps)
    {
        auto fleet = fleetOf({ 80, 10 });
        fleet.run(5s);
        int helped = fleet.zones["a"].sentInAll();
        EXPECT_GT(helped, 80);
        for (int rate = 10; rate <= 46; rate += 2) {
            fleet.zones["b"].rate = rate;
            fleet.run(200ms);
        }
        fleet.resetCounts();
        fleet.run(5s);
        EXPECT_EQ(fleet.zones["b"].refused, 0);
        EXPECT_LT(fleet.zones["b"].late, fleet.zones["b"].served / 50);
        EXPECT_LT(fleet.zones["a"].sentInAll(), helped / 2);
    }

    // Demand that rises from two to eight slots. Guards against a reserve that does not grow with a zone's use and with the
    // trend of its demand.
    TEST(ZoneSpillTest, ReserveGrowsWithUseAndTrend)
    {
        ZoneSpill spill({ true, 0, 1400us });
        Instant now { 1h };
        auto run = [&](Duration time, double costMs) {
            for (auto end = now + time; now < end; now += 20ms) {
                spill.recordArrival({ "b", Tier(1), costMs, 20, 1000, 2000 });
                spill.observe({ { "b", 10, 5, 0, 0, 200 } }, now);
            }
            return spill.reservedSlots("b", 2000);
        };
        double low = run(8s, 40);
        double rising = run(700ms, 160);
        double high = run(8s, 160);
        EXPECT_GT(high, low + 5);
        EXPECT_GT(rising, high + 1);
    }

    // Targets of 0.55, 1.0 and 2.8 times the usual speed, one speed in each zone; the slow zone gets what ten usual slots
    // could run. Guards against shares by the number of slots instead of what they can do.
    TEST(ZoneSpillTest, TargetsOfUnequalSpeed)
    {
        auto fleet = fleetOf({ 45, 15, 15 });
        fleet.zones["a"].speed = 0.55;
        fleet.zones["c"].speed = 2.8;
        fleet.run(10s);
        auto& slow = fleet.zones["a"];
        EXPECT_EQ(slow.refused, 0);
        EXPECT_LT(slow.late, slow.served / 50);
        EXPECT_GT(slow.sent["c"], 2 * slow.sent["b"]);
    }

    // All callers of one zone move to another at the same time. Guards against a spill that follows late or does not end.
    TEST(ZoneSpillTest, CallersMoveToAnotherZone)
    {
        auto fleet = fleetOf({ 40, 35, 0 });
        fleet.run(5s);
        fleet.zones["a"].rate = 0;
        fleet.zones["b"].rate = 75;
        fleet.resetCounts();
        fleet.run(1s);
        EXPECT_GT(fleet.zones["b"].sentInAll(), 10) << "within a second";
        EXPECT_EQ(fleet.zones["b"].late, 0);
        fleet.run(5s);
        EXPECT_EQ(fleet.zones["b"].late + fleet.zones["b"].refused, 0);
        fleet.zones["a"].rate = 40;
        fleet.zones["b"].rate = 30;
        fleet.run(3s);
        fleet.resetCounts();
        fleet.spill.takeEvents();
        fleet.run(5s);
        EXPECT_LT(fleet.zones["b"].sentInAll(), fleet.zones["b"].served / 20);
    }

    // A zone is cut off, so that its targets take nothing, and comes back. Guards against work sent there meanwhile, callers
    // that keep waiting for it, and a zone that stays unused.
    TEST(ZoneSpillTest, ZoneCutOffAndBack)
    {
        auto fleet = fleetOf({ 20, 30, 20 });
        fleet.run(3s);
        fleet.zones["b"].isCutOff = true;
        fleet.resetCounts();
        fleet.run(3s);
        EXPECT_EQ(fleet.zones["a"].sent.count("b") + fleet.zones["c"].sent.count("b"), 0U);
        EXPECT_LT(fleet.zones["b"].late + fleet.zones["b"].refused, 5);
        fleet.zones["b"].isCutOff = false;
        fleet.run(1s);
        fleet.resetCounts();
        fleet.run(3s);
        EXPECT_LT(fleet.zones["b"].sentInAll(), fleet.zones["b"].served / 10);
    }

    // The last news of other zones is old. Guards against more work for a zone than it had free slots when it was last seen,
    // and against any once that is too long ago.
    TEST(ZoneSpillTest, StaleView)
    {
        ZoneSpill spill({ true, 0, 1400us });
        Instant now { 1h };
        for (int i = 0; i < 20; ++i)
            spill.observe({ { "a", 10, 0, 0, 1e6, 200 }, { "b", 10, 4, 0, 0, 200 } }, now += 20ms);
        int sent = 0;
        for (; sent < 100 && !spill.options(overdueRequest("a"), now).empty(); ++sent)
            spill.recordSent("a", "b", 1, now);
        EXPECT_GE(sent, 2);
        EXPECT_LE(sent, 4);
        spill.observe({ { "a", 10, 0, 0, 1e6, 200 }, { "b", 10, 4, 0, 0, 200 } }, now);
        EXPECT_FALSE(spill.options(overdueRequest("a"), now).empty());
        spill.observe({ { "a", 10, 0, 0, 1e6, 200 } }, now + 2s);
        EXPECT_TRUE(spill.options(overdueRequest("a"), now + 2s).empty());
    }

    // Constant overload of one zone. Guards against oscillation: seconds in which much more or much less is sent than in others.
    TEST(ZoneSpillTest, ConstantLoadDoesNotOscillate)
    {
        auto fleet = fleetOf({ 75, 20, 20 });
        fleet.run(5s);
        int least = INT32_MAX;
        int most = 0;
        for (int i = 0; i < 20; ++i) {
            fleet.resetCounts();
            fleet.run(2s);
            least = std::min(least, fleet.zones["a"].sentInAll());
            most = std::max(most, fleet.zones["a"].sentInAll());
        }
        // 50 on average; random arrivals alone vary by about 12 either way.
        EXPECT_GT(least, 15);
        EXPECT_LT(most, 100);
        auto events = fleet.spill.takeEvents();
        EXPECT_EQ(std::count_if(events.begin(), events.end(), [](const auto& event) { return event.zone == "a"; }), 1) << "one start, no end";
    }

    // Two zones that are overloaded in turn for 3 s each. Guards against a damping that is in antiphase with the load.
    TEST(ZoneSpillTest, AlternatingLoad)
    {
        auto fleet = fleetOf({ 0, 0 });
        int wrongWay = 0;
        int rightWay = 0;
        for (int period = 0; period < 10; ++period) {
            bool isAFull = period % 2 == 0;
            fleet.zones["a"].rate = isAFull ? 70 : 10;
            fleet.zones["b"].rate = isAFull ? 10 : 70;
            fleet.resetCounts();
            fleet.run(3s);
            rightWay += fleet.zones[isAFull ? "a" : "b"].sentInAll();
            wrongWay += fleet.zones[isAFull ? "b" : "a"].sentInAll();
            EXPECT_EQ(fleet.zones["a"].late + fleet.zones["b"].late, 0) << period;
        }
        EXPECT_GT(rightWay, 300);
        EXPECT_LT(wrongWay, rightWay / 10);
    }

    // Requests of different value while one zone is full. Guards against traffic that costs more than the request is worth.
    TEST(ZoneSpillTest, RequestLeavesOnlyForMoreThanItsTrafficCosts)
    {
        Instant now { 1h };
        ZoneSpill spill({ true, 0.5, 1400us });
        for (int i = 0; i < 20; ++i)
            spill.observe({ { "a", 10, 0, 0, 1e6, 200 }, { "b", 10, 10, 0, 0, 200 } }, now += 20ms);
        auto request = overdueRequest("a");
        request.tier = Tier(0);
        request.bytes = 1e6;
        EXPECT_EQ(spill.options(request, now).size(), 1U);
        request.tier = Tier(3);
        EXPECT_TRUE(spill.options(request, now).empty());
        request.bytes = 1e4;
        EXPECT_EQ(spill.options(request, now).size(), 1U);
        request.aheadMs = 0;
        request.homeLoss = 0;
        EXPECT_TRUE(spill.options(request, now).empty()) << "it has a slot at home";
    }

}
}
