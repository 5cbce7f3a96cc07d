#include "briarhitch/control/Commands.h"

#include "wire/Codec.h"

namespace briarhitch {

namespace {

    template <class T>
    std::string wrap(CommandKind kind, const T& body, int64_t timeMs = 0)
    {
        return encode(Command { kind, timeMs, encode(body) });
    }

}

std::string encodeCommand(const PutCustomerCommand& command) { return wrap(CommandKind::PutCustomer, command); }
std::string encodeCommand(const WindDownCommand& command) { return wrap(CommandKind::WindDown, command); }
std::string encodeCommand(const PutTargetCommand& command) { return wrap(CommandKind::PutTarget, command); }
std::string encodeCommand(const SetTargetStateCommand& command) { return wrap(CommandKind::SetTargetState, command); }
std::string encodeCommand(const RegisterNodeCommand& command, int64_t timeMs) { return wrap(CommandKind::RegisterNode, command, timeMs); }
std::string encodeCommand(const MarkNodeLostCommand& command, int64_t timeMs) { return wrap(CommandKind::MarkNodeLost, command, timeMs); }
std::string encodeCommand(const AssignPoolsCommand& command) { return wrap(CommandKind::AssignPools, command); }
std::string encodeCommand(const ClaimRunCommand& command, int64_t timeMs) { return wrap(CommandKind::ClaimRun, command, timeMs); }
std::string encodeCommand(const FinishRunCommand& command, int64_t timeMs) { return wrap(CommandKind::FinishRun, command, timeMs); }
std::string encodeCommand(const RetireRunsCommand& command) { return wrap(CommandKind::RetireRuns, command); }
std::string encodeCommand(const PutRoutingCommand& command) { return wrap(CommandKind::PutRouting, command); }
std::string encodeCommand(const ReplaceDiscoveredCommand& command) { return wrap(CommandKind::ReplaceDiscovered, command); }
std::string encodeCommand(const RecordSuspectsCommand& command, int64_t timeMs) { return wrap(CommandKind::RecordSuspects, command, timeMs); }
std::string encodeCommand(const RetireSoftwareVersionsCommand& command) { return wrap(CommandKind::RetireSoftwareVersions, command); }
std::string encodeCommand(const StartRolloutCommand& command, int64_t timeMs) { return wrap(CommandKind::StartRollout, command, timeMs); }
std::string encodeCommand(const AdvanceRolloutCommand& command) { return wrap(CommandKind::AdvanceRollout, command); }
std::string encodeCommand(const RecordStreamsCommand& command) { return wrap(CommandKind::RecordStreams, command); }

Result<CommandResult> decodeCommandResult(const std::string& bytes)
{
    return decode<CommandResult>(bytes);
}

Result<ClaimResult> decodeClaimResult(const std::string& bytes)
{
    return decode<ClaimResult>(bytes);
}

}
