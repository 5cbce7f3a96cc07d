#include "briarhitch/control/StateMachine.h"

#include "support/ControlFixtures.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace briarhitch {
namespace {

    /** Reference implementation of the state machine, without its indexes and snapshots. */
    struct ReferenceModel {
        struct Customer {
            uint32_t id { 0 };
            uint64_t version { 0 };
            double share { 0 };
            CustomerState state { CustomerState::Active };
        };
        struct Node {
            uint64_t incarnation { 0 };
            bool lost { false };
        };
        struct Run {
            ClaimRun claim;
            RunState state { RunState::Claimed };
            int64_t endedAt { 0 };
            bool retired { false };
        };
        struct ExpectedResult {
            std::string content;
            bool accepted { false };
            uint64_t version { 0 };
        };

        std::map<std::string, Customer> customers;
        std::map<std::string, ExpectedResult> results;
        std::map<uint32_t, Node> nodes;
        std::map<std::pair<uint32_t, std::string>, Run> runs;
        uint64_t configVersion { 1 };

        ExpectedResult change(const std::string& id, const std::string& content, const std::function<std::optional<ExpectedResult>()>& decide)
        {
            if (results.contains(id))
                return results[id].content == content ? results[id] : ExpectedResult { content, false, 0 };
            auto expectedResult = decide();
            if (!expectedResult)
                return { content, false, 0 };
            expectedResult->content = content;
            return results[id] = *expectedResult;
        }

        ExpectedResult put(const std::string& id, uint64_t expected, const std::string& name, double share)
        {
            return change(id, "put " + name + std::to_string(share), [&]() -> std::optional<ExpectedResult> {
                auto current = customers.contains(name) ? customers[name] : Customer {};
                if (current.state == CustomerState::Erased || current.version != expected)
                    return ExpectedResult { "", false, current.version };
                if (!current.id)
                    current.id = static_cast<uint32_t>(customers.size() + 1);
                ++configVersion;
                customers[name] = { current.id, expected + 1, share, current.state };
                return ExpectedResult { "", true, expected + 1 };
            });
        }

        ExpectedResult windDown(const std::string& id, uint64_t expected, const std::string& name, CustomerState step)
        {
            return change(id, "step " + name + std::to_string(static_cast<int>(step)), [&]() -> std::optional<ExpectedResult> {
                if (!customers.contains(name))
                    return ExpectedResult { "", false, 0 };
                auto& customer = customers[name];
                if (step <= customer.state)
                    return ExpectedResult { "", true, customer.version };
                bool isNext = static_cast<int>(step) == static_cast<int>(customer.state) + 1;
                if (customer.version != expected || !isNext)
                    return ExpectedResult { "", false, customer.version };
                if (step == CustomerState::Drained && claimedOf(customer.id) > 0)
                    return std::nullopt;
                if (step == CustomerState::Erased)
                    std::erase_if(runs, [&](const auto& entry) { return entry.first.first == customer.id; });
                ++configVersion;
                customer.state = step;
                return ExpectedResult { "", true, ++customer.version };
            });
        }

        size_t claimedOf(uint32_t customer)
        {
            return static_cast<size_t>(std::count_if(runs.begin(), runs.end(), [&](const auto& entry) {
                return entry.first.first == customer && entry.second.state == RunState::Claimed;
            }));
        }

        void markRunsUnknown(uint32_t node, int64_t time)
        {
            for (auto& [key, run] : runs) {
                if (run.claim.node == NodeId(node) && run.state == RunState::Claimed) {
                    run.state = RunState::Unknown;
                    run.endedAt = time;
                }
            }
        }

        void registerNode(uint32_t id, uint64_t incarnation, int64_t time)
        {
            bool isKnown = nodes.contains(id);
            if (isKnown && nodes[id].incarnation > incarnation)
                return;
            if (isKnown && nodes[id].incarnation != incarnation)
                markRunsUnknown(id, time);
            if (!isKnown || nodes[id].lost || nodes[id].incarnation != incarnation)
                ++configVersion;
            nodes[id] = { incarnation, false };
        }

        void markNodeLost(uint32_t id, uint64_t incarnation, int64_t time)
        {
            if (!nodes.contains(id) || nodes[id].lost || nodes[id].incarnation != incarnation)
                return;
            markRunsUnknown(id, time);
            nodes[id].lost = true;
            ++configVersion;
        }

        /** Not set: the claim must be rejected without a decision. */
        std::optional<ClaimOutcome> claim(const ClaimRun& claim, size_t maxRuns)
        {
            auto customer = std::find_if(customers.begin(), customers.end(), [&](const auto& entry) { return entry.second.id == claim.key.customer.value(); });
            auto node = nodes.find(claim.node.value());
            bool isOpen = customer != customers.end() && customer->second.state < CustomerState::Drained;
            bool isLive = node != nodes.end() && !node->second.lost && node->second.incarnation == claim.nodeIncarnation.value();
            if (!isOpen || !isLive)
                return std::nullopt;
            std::pair key(claim.key.customer.value(), claim.key.idempotencyKey);
            auto it = runs.find(key);
            if (it == runs.end()) {
                if (runs.size() >= maxRuns)
                    return ClaimOutcome::StoreFull;
                runs[key] = { claim, RunState::Claimed, 0, false };
                return ClaimOutcome::Granted;
            }
            auto& run = it->second;
            if (run.state == RunState::NotRun) {
                if (run.claim.attempt == claim.attempt)
                    return ClaimOutcome::InProgress;
                run = { claim, RunState::Claimed, 0, false };
                return ClaimOutcome::Granted;
            }
            if (!run.retired && run.claim.digest != claim.digest)
                return ClaimOutcome::Conflict;
            if (run.state == RunState::Done)
                return ClaimOutcome::Finished;
            if (run.state == RunState::Unknown)
                return ClaimOutcome::Unknown;
            bool isSame = run.claim.attempt == claim.attempt && run.claim.node == claim.node && run.claim.nodeIncarnation == claim.nodeIncarnation;
            return isSame ? ClaimOutcome::Granted : ClaimOutcome::InProgress;
        }

        void finish(const FinishRun& finish, int64_t time)
        {
            auto customer = std::find_if(customers.begin(), customers.end(), [&](const auto& entry) { return entry.second.id == finish.key.customer.value(); });
            if (customer == customers.end() || customer->second.state == CustomerState::Erased)
                return;
            std::pair key(finish.key.customer.value(), finish.key.idempotencyKey);
            auto it = runs.find(key);
            if (it == runs.end()) {
                if (finish.state == RunState::NotRun)
                    runs[key] = { { finish.key, 0, finish.attempt, {}, {} }, RunState::NotRun, time, false };
                return;
            }
            auto& run = it->second;
            bool isLate = run.state == RunState::Unknown && finish.state == RunState::Done;
            if (run.retired || run.claim.attempt != finish.attempt || (run.state != RunState::Claimed && !isLate))
                return;
            run.state = finish.state;
            run.endedAt = time;
        }

        void retire(int64_t before)
        {
            std::erase_if(runs, [&](const auto& entry) { return entry.second.state == RunState::NotRun && entry.second.endedAt < before; });
            for (auto& [key, run] : runs) {
                if (run.state != RunState::Claimed && run.endedAt < before)
                    run.retired = true;
            }
        }
    };

    /** Applies random commands to the state machine and to the reference model and compares the results. */
    struct Comparison {
        TestState state;
        ReferenceModel model;
        int64_t time { 0 };

        static uint64_t draw(uint64_t bound) { return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<uint64_t>(0, bound)); }
        static std::string drawId() { return "change" + std::to_string(draw(300)); }
        static std::string drawName() { return "customer" + std::to_string(draw(3)); }

        static ClaimRun drawClaim()
        {
            auto claim = claimOf("key" + std::to_string(draw(6)), 1 + draw(4), static_cast<uint32_t>(1 + draw(3)), 1 + draw(3));
            claim.key.customer = CustomerId(static_cast<uint32_t>(1 + draw(3)));
            claim.digest = draw(4) == 0 ? 1 : 2;
            return claim;
        }

        uint64_t drawVersion(const std::string& name)
        {
            uint64_t version = model.customers.contains(name) ? model.customers[name].version : 0;
            return draw(4) == 0 ? draw(5) : version;
        }

        static void compare(const CommandResult& result, const ReferenceModel::ExpectedResult& expectedResult)
        {
            RC_ASSERT(result.accepted == expectedResult.accepted);
            RC_ASSERT(!result.accepted || result.objectVersion == Version(expectedResult.version));
        }

        void step()
        {
            ++time;
            switch (draw(10)) {
            case 0: {
                auto name = drawName();
                auto id = drawId();
                auto expected = drawVersion(name);
                auto share = static_cast<double>(1 + draw(3));
                compare(state.apply(customerChange(id, expected, name, share)), model.put(id, expected, name, share));
                break;
            }
            case 1: {
                auto name = drawName();
                auto id = drawId();
                auto expected = drawVersion(name);
                auto to = static_cast<CustomerState>(1 + draw(4));
                compare(state.apply(WindDownCommand { { id, Version(expected) }, name, to }), model.windDown(id, expected, name, to));
                break;
            }
            case 2: {
                auto node = nodeRecord(static_cast<uint32_t>(1 + draw(3)), 1 + draw(3));
                state.apply(RegisterNodeCommand { node }, time);
                model.registerNode(node.id.value(), node.incarnation.value(), time);
                break;
            }
            case 3: {
                auto node = nodeRecord(static_cast<uint32_t>(1 + draw(3)), 1 + draw(3));
                state.apply(MarkNodeLostCommand { node.id, node.incarnation }, time);
                model.markNodeLost(node.id.value(), node.incarnation.value(), time);
                break;
            }
            case 4:
                if (draw(3) == 0) {
                    state.apply(RetireRunsCommand { time - 20, 1000 });
                    model.retire(time - 20);
                }
                break;
            case 5:
                if (draw(10) == 0)
                    state.restart();
                break;
            case 6:
            case 7: {
                auto finish = finishOf(drawClaim(), static_cast<RunState>(1 + draw(3)));
                state.finish(finish, time);
                model.finish(finish, time);
                break;
            }
            default: {
                auto claim = drawClaim();
                auto result = state.claim(claim, 14);
                auto expected = model.claim(claim, 14);
                RC_ASSERT(result.decided == expected.has_value());
                RC_ASSERT(!expected || result.reply.outcome == *expected);
                break;
            }
            }
            RC_ASSERT(state.machine.config().version == Version(model.configVersion));
            RC_ASSERT(state.machine.runs().size() == model.runs.size());
            for (uint32_t customer = 1; customer <= 3; ++customer)
                RC_ASSERT(state.machine.runs().claimedCount(CustomerId(customer)) == model.claimedOf(customer));
        }
    };

    // Guards against indexes, snapshots or a change history that do not match the applied commands.
    TEST(ControlModelTest, StateMachineAgreesWithReferenceModel)
    {
        rc::detail::TestParams params;
        params.seed = 20261204;
        params.maxSuccess = 150;
        params.disableShrinking = true;
        auto result = rc::detail::checkTestable(
            [] {
                Comparison comparison;
                for (int i = 0; i < 300; ++i)
                    comparison.step();
            },
            rc::detail::TestMetadata {}, params);
        std::ostringstream text;
        rc::detail::printResultMessage(result, text);
        EXPECT_TRUE(result.is<rc::detail::SuccessResult>()) << text.str();
    }

}
}
