#include "briarhitch/sched/PoolScheduler.h"

#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <set>
#include <string>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /** A plain service with one target of six slots; the ends of its calls reach the owner 12 ms late. */
    struct DistantService {
        static constexpr Duration turnaround = 12ms;

        using CallTimeHook = std::function<Duration(uint64_t)>;

        /** `callTimeOf` gives the time of a call by its number. */
        DistantService(std::set<std::string> parts, CallTimeHook callTimeOf)
            : callTimeOf(std::move(callTimeOf))
        {
            PoolSettings settings;
            settings.policy = "slots";
            settings.kind = PoolKind::Service;
            settings.enabledFeatures = std::move(parts);
            scheduler = std::move(*makePoolScheduler(settings));
            Target target;
            target.id = TargetId(1);
            target.kind = TargetKind::Service;
            target.slots = 6;
            scheduler->setTargets({ target }, now);
        }

        void submit()
        {
            PoolRequest request;
            request.attempt = { RequestId(++lastId), 1 };
            request.kind = WorkKindId(1);
            request.objective = now + 150ms;
            request.deadline = request.responseDeadline = now + 1s;
            scheduler->submit(std::move(request), now);
            take();
        }

        /** More calls than the slots can run, for this long. */
        void overload(Duration time)
        {
            for (auto end = now + time; now < end; now += 1ms) {
                if ((now - Instant(1h)) / 1ms % 4 == 0)
                    submit();
                while (!running.empty() && running.begin()->first <= now) {
                    auto attempt = running.begin()->second;
                    running.erase(running.begin());
                    scheduler->attemptFinished(attempt, AttemptOutcome::Completed, {}, {}, callTimes.at(attempt), now);
                    inTime += now <= objectives.at(attempt) ? 1 : 0;
                    ++finished;
                    take();
                }
                scheduler->tick(now);
                take();
            }
        }

        void take()
        {
            for (const auto& action : scheduler->takeActions()) {
                const auto* grant = std::get_if<PoolGrant>(&action);
                if (!grant)
                    continue;
                auto time = callTimeOf(grant->attempt.request.value());
                callTimes[grant->attempt] = time;
                objectives[grant->attempt] = arrivalOf(grant->attempt) + 150ms;
                running.emplace(now + time + turnaround, grant->attempt);
                mostRunning = std::max(mostRunning, running.size());
            }
        }
        /** One request is submitted every 4 ms, from the start on. */
        static Instant arrivalOf(AttemptId attempt) { return Instant(1h) + 4ms * (attempt.request.value() - 1); }

        CallTimeHook callTimeOf;
        Instant now { 1h };
        std::unique_ptr<PoolScheduler> scheduler;
        uint64_t lastId { 0 };
        std::multimap<Instant, AttemptId> running;
        std::map<AttemptId, Duration> callTimes;
        std::map<AttemptId, Instant> objectives;
        size_t mostRunning { 0 };
        int finished { 0 };
        int inTime { 0 };
    };

    // Load: 250 calls a second for a target that can run 200, far from its owner. Guards against slots that are free at the target
    // and occupied at the owner.
    TEST(SlotPredictionTest, TurnaroundOfShortCallsIsOverlapped)
    {
        auto steady = [](uint64_t) { return 30ms; };
        DistantService without({}, steady);
        without.overload(10s);
        DistantService with({ "slot_turnaround" }, steady);
        with.overload(10s);
        EXPECT_EQ(without.mostRunning, 6u);
        EXPECT_EQ(with.mostRunning, 8u) << "30 ms of work and 12 ms of way";
        EXPECT_GT(with.finished, without.finished * 5 / 4);
    }

    // Load: the same, with calls of 10 to 90 ms. Guards against calls that are granted at the last moment at which their mean
    // time still meets the objective, and are late.
    TEST(SlotPredictionTest, CallsOfVaryingTimeAreGrantedInTime)
    {
        auto varying = [](uint64_t id) { return std::chrono::milliseconds(10 + id * 37 % 80); };
        DistantService without({}, varying);
        without.overload(10s);
        DistantService with({ "prediction_margin" }, varying);
        with.overload(10s);
        EXPECT_GT(static_cast<double>(with.inTime) / with.finished, 1.2 * without.inTime / without.finished);
    }

}
}
