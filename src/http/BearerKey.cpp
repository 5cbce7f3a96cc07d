#include "briarhitch/http/BearerKey.h"

#include "briarhitch/core/Digest.h"

#include <string_view>

namespace briarhitch {

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";

}

std::string bearerKeyHash(const HttpRequest& request)
{
    auto value = request.header("Authorization");
    if (!value.starts_with(bearerPrefix) || value.size() == bearerPrefix.size())
        return {};
    return sha256Hex(value.substr(bearerPrefix.size()));
}

bool hasKnownBearerKey(const HttpRequest& request, const std::vector<std::string>& keyHashes)
{
    auto hash = bearerKeyHash(request);
    bool isKnown = false;
    for (const auto& allowed : keyHashes)
        isKnown = (!hash.empty() && constantTimeEqual(hash, allowed)) || isKnown;
    return isKnown;
}

}
