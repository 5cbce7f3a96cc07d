#include "briarhitch/http/EndToEndHeaders.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <array>

namespace briarhitch {

namespace {

    constexpr std::array hopByHop { "connection", "content-length", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "date" };

}

HttpHeaders endToEndHeaders(const HttpHeaders& headers)
{
    HttpHeaders kept;
    for (const auto& header : headers) {
        if (std::none_of(hopByHop.begin(), hopByHop.end(), [&](const char* name) { return absl::EqualsIgnoreCase(header.first, name); }))
            kept.push_back(header);
    }
    return kept;
}

}
