#pragma once

#include "briarhitch/control/Commands.h"
#include "briarhitch/settings/ControlSettings.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace briarhitch {

using Json = nlohmann::ordered_json;

class RolloutDriver;

/** Parse the bodies of operators' changes; InvalidSettings lists each invalid or unknown field. */
Result<PutCustomerCommand> parsePutCustomer(const std::string& name, const std::string& body);
Result<WindDownCommand> parseWindDown(const std::string& name, const std::string& body);
Result<PutTargetCommand> parsePutTarget(const std::string& name, const std::string& body, PoolScope scope);
Result<SetTargetStateCommand> parseSetTargetState(const std::string& name, const std::string& body, TargetState state);
/** The order of a rollout, without the share that the server sets. */
Result<StartRolloutCommand> parseRolloutOrder(const std::string& service, const std::string& body);
/** 1 to 64 letters, digits, '.', '_' or '-'. */
bool isName(const std::string& text);

Json toJson(const Contract& contract);
Json toJson(const Target& target);
Json toJson(const SuspectRecord& record);
/** With the counts and the reasons of the last decisions that this leader has. */
Json toJson(const Rollout& rollout, const RolloutDriver& driver);
Json toJson(const std::vector<NodeId>& nodes);
/** Response to an accepted change. */
Json changeToJson(const std::string& changeId, const CommandResult& result, const std::vector<NodeId>& notApplied);
/** Response to a rejected change: the common error object and the object's current version. */
Json rejectionToJson(const CommandResult& result);
/** Compact JSON text; invalid UTF-8 is replaced. */
std::string dump(const Json& json);

}
