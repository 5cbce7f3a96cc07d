#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace briarhitch {

using Json = nlohmann::ordered_json;

/** Text for people, one function for each answer of the operators' API. */
std::string customersToText(const Json& answer);
std::string customerToText(const Json& answer);
std::string targetsToText(const Json& answer);
std::string targetToText(const Json& answer);
std::string suspectsToText(const Json& answer);
std::string rolloutsToText(const Json& answer);
/** The answer with the rollout of this service only. */
Json rolloutsOfService(const Json& answer, const std::string& service);
std::string changeToText(const Json& answer);
std::string statusToText(const Json& answer);
/** An error's kind, message and what to do. */
std::string errorToText(const Json& answer, int status);

}
