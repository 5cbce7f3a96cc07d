#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace briarhitch {

/**
 * Seconds without a pool owner or a control leader after a kill and after a freeze, which to all others looks like
 * a cut, and what callers met meanwhile; with three voters and three entries under load.
 */
nlohmann::ordered_json measureRecovery(const std::string& programs, const std::string& folder);

}
