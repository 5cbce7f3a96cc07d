#include "briarhitch/http/EndToEndHeaders.h"

#include <absl/strings/match.h>
#include <algorithm>
#include <array>

namespace briarhitch {

namespace {

    constexpr std::array hopByHop { "connection", "content-length", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade" };

}

bool isHopByHop(const std::string& name)
{
    return std::any_of(hopByHop.begin(), hopByHop.end(), [&](const char* known) { return absl::EqualsIgnoreCase(name, known); });
}

HttpHeaders endToEndHeaders(const HttpHeaders& headers)
{
    HttpHeaders kept;
    for (const auto& header : headers) {
        // The server sets its own Date on each response.
        if (!isHopByHop(header.first) && !absl::EqualsIgnoreCase(header.first, "Date"))
            kept.push_back(header);
    }
    return kept;
}

}
