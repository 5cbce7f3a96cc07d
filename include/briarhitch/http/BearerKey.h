#pragma once

#include "briarhitch/http/HttpServer.h"

#include <string>
#include <vector>

namespace briarhitch {

/** SHA-256 of the request's bearer key in hexadecimal; empty if there is no such key. */
std::string bearerKeyHash(const HttpRequest& request);
/** Whether the request's bearer key is one of those whose hashes are given; the time does not tell which. */
bool hasKnownBearerKey(const HttpRequest& request, const std::vector<std::string>& keyHashes);

}
