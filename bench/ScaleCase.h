#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace briarhitch::bench {

/** Time of a decision against the numbers of targets and of customers, with full windows and a long queue. */
nlohmann::ordered_json measureScale(const std::string& policy, uint64_t seed);

}
