#pragma once

#include "briarhitch/control/AdminApi.h"
#include "control/AdminJson.h"

namespace briarhitch {

/** What GET /v1/status answers: leader, nodes, pools and repairs under way. */
Json statusToJson(const AdminSettings& settings, const ControlServer& server, Instant now);

}
