#pragma once

#include "capacity/Slope.h"

#include <map>
#include <string>
#include <vector>

namespace briarhitch {

/** Bytes of each message between own processes at the target size, with the frame around it. */
std::map<std::string, double> messageBytes();

/** Bytes and time of configuration snapshots against customers and targets. */
std::vector<Slope> configurationSlopes();

}
