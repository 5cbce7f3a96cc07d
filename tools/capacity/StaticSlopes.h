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

/** Processor time of both ends of a link against calls, each one request and its answer. */
Slope linkCallSlope();

/** Size of a control snapshot and the time to load it, against run records. */
std::vector<Slope> runRecordSnapshotSlopes();

}
