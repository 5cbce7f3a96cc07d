#pragma once

#include "briarhitch/http/HttpServer.h"

namespace briarhitch {

/** The headers of an answer that are passed on: not those of one connection, nor what a server computes for each message. */
HttpHeaders endToEndHeaders(const HttpHeaders& headers);

}
