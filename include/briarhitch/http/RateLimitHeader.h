#pragma once

#include "briarhitch/core/Units.h"
#include "briarhitch/http/HttpServer.h"

#include <optional>
#include <string_view>

namespace briarhitch {

/** The rate limit in a response's headers. */
struct RateLimitHeader {
    /** None if there is no such header, or none that can be read. */
    std::optional<RequestRate> limit;
    /** False if there is a header without any value that can be read. */
    bool isReadable { true };
};

/**
 * Reads decimal requests per second. The lowest of several values counts, in one header or in more; negative and infinite
 * values cannot be read, and very high ones are cut to a million.
 */
RateLimitHeader readRateLimit(const HttpHeaders& headers, std::string_view name);

}
