#pragma once

#include "briarhitch/http/HttpServer.h"

#include <string>

namespace briarhitch {

/** Whether a header concerns one connection or the framing of one message; `name` in any case. */
bool isHopByHop(const std::string& name);
/** The headers of an answer that are passed on: not those of one connection, nor what a server computes for each message. */
HttpHeaders endToEndHeaders(const HttpHeaders& headers);

}
