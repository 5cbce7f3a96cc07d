#pragma once

#include "briarhitch/http/HttpServer.h"

#include <string>

namespace briarhitch {

/** Whether a header applies to one connection or to the framing of one message; `name` is compared without case. */
bool isHopByHop(const std::string& name);
/** Response headers to forward: without hop-by-hop headers and those that a server sets on each message. */
HttpHeaders endToEndHeaders(const HttpHeaders& headers);

}
