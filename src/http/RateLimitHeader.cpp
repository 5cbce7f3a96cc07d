#include "briarhitch/http/RateLimitHeader.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <cmath>

namespace briarhitch {

namespace {

    /** More requests per second than any target can take. */
    constexpr double maxRequestRate = 1e6;

}

RateLimitHeader readRateLimit(const HttpHeaders& headers, std::string_view name)
{
    RateLimitHeader result;
    for (const auto& [headerName, text] : headers) {
        if (!absl::EqualsIgnoreCase(headerName, std::string(name)))
            continue;
        result.isReadable = result.limit.has_value();
        for (const auto& value : absl::StrSplit(text, ',')) {
            double rate = 0;
            if (!absl::SimpleAtod(value, &rate) || !std::isfinite(rate) || rate < 0)
                continue;
            auto limit = RequestRate(std::min(rate, maxRequestRate));
            result.limit = std::min(limit, result.limit.value_or(limit));
            result.isReadable = true;
        }
    }
    return result;
}

}
