#pragma once

#include "capacity/Slope.h"

#include <string>
#include <vector>

namespace briarhitch {

/** Slopes measured on processes of this repository. */
struct FleetSlopes {
    std::vector<Slope> slopes;
    /** Figures that are not slopes, with their names. */
    nlohmann::ordered_json figures;
};

/** Idle cost of control and entries against nodes, and the time for a change to be in force. */
FleetSlopes measureNodes(const std::string& programs, const std::string& folder);
/** Memory and cost of a change against customers and targets. */
FleetSlopes measureConfiguration(const std::string& programs, const std::string& folder);
/** Cost of requests and of relayed tokens. */
FleetSlopes measureRequests(const std::string& programs, const std::string& folder);
/** Time of a decision against targets and customers, as briarhitch-bench measures it. */
FleetSlopes measureDecisions(const std::string& programs, const std::string& folder);
/** Cost of run records. */
FleetSlopes measureRunRecords(const std::string& programs, const std::string& folder);

}
