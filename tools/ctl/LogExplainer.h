#pragma once

#include "briarhitch/core/Error.h"

#include <string>
#include <vector>

namespace briarhitch {

/**
 * One account of a request from the logs of several processes, in time order: its own lines, and what the processes
 * said about themselves meanwhile. NotFound if no line names the request; lines that are no JSON are passed over.
 */
Result<std::string> explainFromLogs(const std::string& requestId, const std::vector<std::string>& files);

}
