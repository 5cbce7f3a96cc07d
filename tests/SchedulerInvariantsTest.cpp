#include "briarhitch/sched/PoolScheduler.h"

#include "support/Property.h"

#include <algorithm>
#include <map>
#include <set>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr uint32_t targetCount = 5;
    constexpr uint32_t slots = 3;

    /** Drives a scheduler with random events and checks each action against the submitted requests. */
    class RandomPool {
    public:
        explicit RandomPool(const PoolSettings& settings)
            : pool_(std::move(*makePoolScheduler(settings)))
            , states_(targetCount, TargetState::Active)
            , hasDeadlines_(settings.policy == "briarhitch")
        {
            setTargets();
        }

        void step()
        {
            now_ += std::chrono::milliseconds(draw(300));
            const auto choice = draw(20);
            if (choice < 9)
                submit();
            else if (choice < 14)
                finishOne();
            else if (choice < 15)
                cancelOne();
            else if (choice < 16)
                changeTarget();
            else if (choice < 17)
                report();
            else
                pool_->tick(now_);
            checkActions();
            checkStats();
        }

        /** Advances past all deadlines, after which the queue must be empty. */
        void advancePastDeadlines()
        {
            for (int i = 0; i < 200; ++i) {
                now_ += 1s;
                pool_->tick(now_);
                checkActions();
            }
            if (hasDeadlines_)
                RC_ASSERT(queued_.empty());
            checkStats();
        }

        [[nodiscard]] int tierRuleViolations() const { return tierRuleViolations_; }
        [[nodiscard]] int shed() const { return shed_; }

    private:
        struct Running {
            PoolRequest request;
            TargetId target;
        };

        void setTargets()
        {
            std::vector<Target> targets;
            for (uint32_t i = 0; i < targetCount; ++i) {
                Target target;
                target.id = TargetId(i + 1);
                target.slots = slots;
                target.state = states_[i];
                if (target.state != TargetState::Retired)
                    targets.push_back(target);
            }
            pool_->setTargets(targets, now_);
        }

        void submit()
        {
            PoolRequest request;
            request.attempt = { RequestId(++lastRequest_), 1 };
            request.customer = CustomerId(static_cast<uint32_t>(1 + draw(3)));
            request.tier = Tier(static_cast<uint8_t>(draw(4)));
            request.kind = WorkKindId(static_cast<uint32_t>(1 + draw(3)));
            request.promptTokens = Tokens(static_cast<int64_t>(draw(2000)));
            request.maxOutputTokens = Tokens(500);
            request.deadline = now_ + std::chrono::milliseconds(500 + draw(30000));
            request.idempotencyKeyHash = draw(3) == 0 ? 1 + draw(4) : 0;
            for (uint32_t target = 1; target <= targetCount; ++target) {
                if (draw(5) == 0)
                    request.excluded.push_back(TargetId(target));
            }
            queued_[request.attempt] = request;
            pool_->submit(request, now_);
            checkActions();
            // A repeated submission of a known attempt must be ignored.
            if (draw(10) == 0 && (queued_.contains(request.attempt) || running_.contains(request.attempt)))
                pool_->submit(request, now_);
        }

        void finishOne()
        {
            if (running_.empty())
                return;
            auto it = std::next(running_.begin(), static_cast<ptrdiff_t>(draw(running_.size())));
            const AttemptId attempt = it->first;
            running_.erase(it);
            if (draw(3) > 0)
                pool_->attemptStarted(attempt, std::chrono::milliseconds(draw(3000)), now_);
            const auto outcome = draw(8) == 0 ? AttemptOutcome::Failed : (draw(8) == 0 ? AttemptOutcome::Refused : AttemptOutcome::Completed);
            // Drawn one after another, because compilers evaluate arguments in different orders.
            const Tokens output(static_cast<int64_t>(draw(400)));
            const std::chrono::milliseconds duration(draw(9000));
            pool_->attemptFinished(attempt, outcome, Tokens(100), output, duration, now_);
        }

        void cancelOne()
        {
            if (!queued_.empty() && draw(2) == 0) {
                const auto attempt = queued_.begin()->first;
                queued_.erase(queued_.begin());
                pool_->cancel(attempt, now_);
            } else if (!running_.empty()) {
                const auto running = running_.begin()->second;
                running_.erase(running_.begin());
                used_.erase({ running.request.idempotencyKeyHash, running.target });
                pool_->cancel(running.request.attempt, now_);
            }
        }

        void changeTarget()
        {
            const auto index = draw(targetCount);
            states_[index] = static_cast<TargetState>(draw(3));
            setTargets();
        }

        void report()
        {
            LoadReport report;
            report.target = TargetId(static_cast<uint32_t>(1 + draw(targetCount)));
            report.running = static_cast<uint32_t>(draw(slots));
            report.reachable = draw(5) > 0;
            pool_->reportLoad(report, now_);
        }

        void checkGrant(const PoolGrant& grant)
        {
            auto it = queued_.find(grant.attempt);
            RC_ASSERT(it != queued_.end());
            const PoolRequest request = it->second;
            queued_.erase(it);
            RC_ASSERT(states_[grant.target.value() - 1] == TargetState::Active);
            RC_ASSERT(std::find(request.excluded.begin(), request.excluded.end(), grant.target) == request.excluded.end());
            if (request.idempotencyKeyHash != 0) {
                auto used = used_.find({ request.idempotencyKeyHash, grant.target });
                const bool isFree = used == used_.end() || used->second + 10min <= now_;
                RC_ASSERT(isFree);
                used_[{ request.idempotencyKeyHash, grant.target }] = now_;
            }
            running_[grant.attempt] = { request, grant.target };
        }

        void checkActions()
        {
            std::vector<std::pair<Tier, ErrorKind>> refused;
            for (const auto& action : pool_->takeActions()) {
                if (const auto* grant = std::get_if<PoolGrant>(&action)) {
                    checkGrant(*grant);
                    continue;
                }
                const auto& refusal = std::get<PoolRefusal>(action);
                auto it = queued_.find(refusal.attempt);
                RC_ASSERT(it != queued_.end());
                RC_ASSERT(refusal.retryAfter >= 1s);
                refused.emplace_back(it->second.tier, refusal.kind);
                queued_.erase(it);
            }
            for (const auto& [tier, kind] : refused) {
                if (kind != ErrorKind::Shed && kind != ErrorKind::QueueFull)
                    continue;
                ++shed_;
                tierRuleViolations_ += std::any_of(queued_.begin(), queued_.end(), [&, t = tier](const auto& entry) { return t.isMoreUrgentThan(entry.second.tier); });
            }
        }

        void checkStats()
        {
            std::array<size_t, Tier::count> queued {};
            std::array<size_t, Tier::count> running {};
            for (const auto& [attempt, request] : queued_)
                ++queued[request.tier.value()];
            for (const auto& [attempt, entry] : running_)
                ++running[entry.request.tier.value()];
            RC_ASSERT(pool_->stats().queued == queued);
            RC_ASSERT(pool_->stats().running == running);
        }

        std::unique_ptr<PoolScheduler> pool_;
        std::vector<TargetState> states_;
        bool hasDeadlines_;
        Instant now_ { 1h };
        uint64_t lastRequest_ { 0 };
        std::map<AttemptId, PoolRequest> queued_;
        std::map<AttemptId, Running> running_;
        std::map<std::pair<uint64_t, TargetId>, Instant> used_;
        int tierRuleViolations_ { 0 };
        int shed_ { 0 };
    };

    PoolSettings settingsFor(const std::string& policy)
    {
        PoolSettings settings;
        settings.policy = policy;
        settings.maxQueued = 6;
        settings.floors[WorkKindId(2)] = 0.2;
        // Without this the baselines grant more requests than there are slots and hardly queue.
        settings.disabledFeatures.insert("pipelining");
        return settings;
    }

    int violationsIn(const PoolSettings& settings, int& shed)
    {
        int violations = 0;
        expectProperty(14, 300, [&] {
            RandomPool pool(settings);
            const auto steps = 50 + draw(250);
            for (uint64_t step = 0; step < steps; ++step)
                pool.step();
            pool.advancePastDeadlines();
            violations += pool.tierRuleViolations();
            shed += pool.shed();
        });
        return violations;
    }

    // Guards against lost or duplicate decisions, grants to excluded targets, and urgent work shed before less urgent work.
    TEST(SchedulerInvariantsTest, BriarhitchKeepsInvariantsUnderRandomEvents)
    {
        int shed = 0;
        EXPECT_EQ(violationsIn(settingsFor("briarhitch"), shed), 0);
        EXPECT_GT(shed, 100);
    }

    // The same for service pools, whose cost unit is a request instead of a token.
    TEST(SchedulerInvariantsTest, BriarhitchKeepsInvariantsForServices)
    {
        auto settings = settingsFor("briarhitch");
        settings.kind = PoolKind::Service;
        int shed = 0;
        EXPECT_EQ(violationsIn(settings, shed), 0);
        EXPECT_GT(shed, 50);
    }

    // Guards against a feature that only works together with another one.
    TEST(SchedulerInvariantsTest, EachFeatureCanBeDisabled)
    {
        for (const char* feature : { "fair", "lengths", "window", "prefix", "deadline", "floors", "backoff" }) {
            auto settings = settingsFor("briarhitch");
            settings.disabledFeatures.insert(feature);
            int shed = 0;
            EXPECT_EQ(violationsIn(settings, shed), 0) << feature;
        }
    }

    // Verifies that the check of the tier rule can fail: the baselines, and briarhitch without shedding, violate it.
    TEST(SchedulerInvariantsTest, TierRuleIsViolatedWithoutShedding)
    {
        int shed = 0;
        EXPECT_GT(violationsIn(settingsFor("naive"), shed), 100);
        EXPECT_GT(violationsIn(settingsFor("two-choices"), shed), 100);
        auto settings = settingsFor("briarhitch");
        settings.disabledFeatures.insert("shed");
        EXPECT_GT(violationsIn(settings, shed), 100);
    }

}
}
