#pragma once

#include "briarhitch/http/HttpServer.h"

#include <string>
#include <vector>

namespace briarhitch {

/** SHA-256 of the request's bearer key in hexadecimal; empty if the request has none. */
std::string bearerKeyHash(const HttpRequest& request);
/**
 * Whether the hash of the request's bearer key is among keyHashes; the run time does not depend on which one matches.
 */
bool hasKnownBearerKey(const HttpRequest& request, const std::vector<std::string>& keyHashes);

}
