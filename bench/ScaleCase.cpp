#include "ScaleCase.h"

#include "briarhitch/core/Random.h"
#include "briarhitch/sched/PoolScheduler.h"

#include <algorithm>
#include <chrono>

namespace briarhitch::bench {

namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::ordered_json;

    constexpr uint32_t slotsByTarget = 8;
    constexpr size_t queuedByCustomer = 2;
    constexpr size_t leastQueued = 200;
    constexpr int rounds = 40000;
    constexpr int roundsByTick = 500;
    constexpr size_t prefixBlocks = 8;
    constexpr uint64_t commonPrefixes = 1000;

    /** A pool in which every finished request is replaced by a new one. */
    class BusyPool {
    public:
        BusyPool(const std::string& policy, size_t targets, size_t customers, uint64_t seed)
            : random_(seed)
            , customers_(customers)
        {
            PoolSettings settings;
            settings.policy = policy;
            pool_ = std::move(*makePoolScheduler(settings));
            std::vector<Target> all(targets);
            for (size_t i = 0; i < targets; ++i) {
                all[i].id = TargetId(static_cast<uint32_t>(i + 1));
                all[i].slots = slotsByTarget;
            }
            pool_->setTargets(all, now_);
            const size_t requests = targets * slotsByTarget + std::max(leastQueued, customers * queuedByCustomer);
            for (size_t i = 0; i < requests; ++i)
                submit();
            carryOut();
        }

        /** Nanoseconds for each action over the rounds. */
        double measure()
        {
            const auto start = std::chrono::steady_clock::now();
            actions_ = 0;
            for (int round = 0; round < rounds; ++round) {
                now_ += 100us;
                finishOne();
                submit();
                if (round % roundsByTick == 0)
                    pool_->tick(now_);
                carryOut();
            }
            const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - start;
            return elapsed.count() / static_cast<double>(std::max<uint64_t>(1, actions_));
        }

    private:
        void submit()
        {
            PoolRequest request;
            request.attempt = { RequestId(++lastRequest_), 1 };
            request.customer = CustomerId(static_cast<uint32_t>(random_.below(customers_) + 1));
            request.tier = Tier(static_cast<uint8_t>(random_.below(Tier::count)));
            request.kind = WorkKindId(static_cast<uint32_t>(random_.below(6) + 1));
            request.promptTokens = Tokens(static_cast<int64_t>(50 + random_.below(2000)));
            request.maxOutputTokens = Tokens(500);
            const uint64_t common = random_.below(commonPrefixes);
            for (size_t block = 0; block < prefixBlocks; ++block)
                request.prefix.push_back(static_cast<uint32_t>(common * prefixBlocks + block));
            request.deadline = now_ + 1h;
            pool_->submit(std::move(request), now_);
        }

        void finishOne()
        {
            if (running_.empty())
                return;
            const size_t index = random_.below(running_.size());
            const AttemptId attempt = running_[index];
            running_[index] = running_.back();
            running_.pop_back();
            pool_->attemptStarted(attempt, 100ms, now_);
            pool_->attemptFinished(attempt, AttemptOutcome::Completed, Tokens(500), Tokens(100), 2s, now_);
        }

        void carryOut()
        {
            const auto actions = pool_->takeActions();
            actions_ += actions.size();
            for (const auto& action : actions) {
                if (const auto* grant = std::get_if<PoolGrant>(&action))
                    running_.push_back(grant->attempt);
            }
        }

        Random random_;
        size_t customers_;
        std::unique_ptr<PoolScheduler> pool_;
        Instant now_ { 1h };
        std::vector<AttemptId> running_;
        uint64_t lastRequest_ { 0 };
        uint64_t actions_ { 0 };
    };

}

Json measureScale(const std::string& policy, uint64_t seed)
{
    Json json;
    json["case"] = "scale";
    json["policy"] = policy;
    json["seed"] = seed;
    json["points"] = Json::array();
    for (size_t targets : { 30, 120, 480, 2100 }) {
        for (size_t customers : { 5, 500, 4500 }) {
            Json point;
            point["targets"] = targets;
            point["customers"] = customers;
            point["ns_per_decision"] = std::round(BusyPool(policy, targets, customers, seed).measure());
            json["points"].push_back(point);
        }
    }
    return json;
}

}
