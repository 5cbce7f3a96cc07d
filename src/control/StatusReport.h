#pragma once

#include "briarhitch/control/AdminApi.h"
#include "control/AdminJson.h"

namespace briarhitch {

/** The response to GET /v1/status: leader, nodes, pools and repairs in progress. */
Json statusToJson(const AdminSettings& settings, const ControlServer& server, Instant now);

}
