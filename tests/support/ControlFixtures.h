#pragma once

#include "briarhitch/control/Commands.h"
#include "briarhitch/control/StateMachine.h"

#include <gtest/gtest.h>
#include <string>

namespace briarhitch {

inline PutCustomerCommand customerChange(const std::string& id, uint64_t expected, const std::string& name, double share = 1)
{
    PutCustomerCommand command;
    command.change = { id, Version(expected) };
    command.contract.name = name;
    command.contract.share = share;
    command.contract.keyHashes = { "hash of " + name };
    return command;
}

inline PutTargetCommand targetChange(const std::string& id, uint64_t expected, const std::string& name, const std::string& region = "north", const std::string& zone = "north-a")
{
    PutTargetCommand command;
    command.change = { id, Version(expected) };
    command.target.name = name;
    command.target.serves = "large";
    command.target.region = region;
    command.target.zone = zone;
    command.poolScope = region;
    return command;
}

inline NodeRecord nodeRecord(uint32_t id, uint64_t incarnation, const std::string& zone = "north-a", const std::string& region = "north")
{
    return { NodeId(id), Incarnation(incarnation), region, zone, "127.0.0.1", static_cast<uint16_t>(4000 + id), false, false };
}

inline ClaimRun claimOf(const std::string& key, uint64_t request, uint32_t node = 1, uint64_t incarnation = 1)
{
    return { { CustomerId(1), key }, 77, { RequestId(request), 1 }, NodeId(node), Incarnation(incarnation) };
}

inline FinishRun finishOf(const ClaimRun& claim, RunState state, const std::string& body = "paid")
{
    FinishRun finish { claim.key, claim.attempt, state, {} };
    if (state == RunState::Done)
        finish.response = RecordedResponse { 200, "text/plain", body };
    return finish;
}

/** A state machine whose commands and results are encoded and decoded for the test. */
struct TestState {
    static constexpr uint64_t noLimit = 1'000'000;

    StateMachine machine;

    template <class Command, class... Time>
    CommandResult apply(const Command& command, Time... time)
    {
        auto result = decodeCommandResult(machine.apply(encodeCommand(command, time...)));
        EXPECT_TRUE(result);
        return result.value_or(CommandResult {});
    }

    CommandResult join(const NodeRecord& node) { return apply(RegisterNodeCommand { node }, int64_t(0)); }

    ClaimResult claim(const ClaimRun& claim, uint64_t maxRecords = noLimit)
    {
        auto result = decodeClaimResult(machine.apply(encodeCommand(ClaimRunCommand { claim, maxRecords }, 0)));
        EXPECT_TRUE(result);
        return result.value_or(ClaimResult {});
    }

    /** The outcome of a claim; fails the test if the state machine makes no decision. */
    ClaimOutcome outcome(const ClaimRun& run, uint64_t maxRecords = noLimit)
    {
        auto result = claim(run, maxRecords);
        EXPECT_TRUE(result.decided) << errorInfo(result.kind).name;
        return result.reply.outcome;
    }

    void finish(const FinishRun& finish, int64_t timeMs = 0, uint64_t maxResponseBytes = noLimit)
    {
        apply(FinishRunCommand { finish, maxResponseBytes }, timeMs);
    }

    /** Replaces the state machine by one that is loaded from its snapshot, as after a voter's restart. */
    void restart()
    {
        auto snapshot = machine.takeSnapshot();
        machine = StateMachine();
        ASSERT_TRUE(machine.loadSnapshot(snapshot));
        EXPECT_EQ(machine.takeSnapshot(), snapshot);
    }
};

}
