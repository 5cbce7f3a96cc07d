#include "briarhitch/core/Ids.h"

#include <cstdio>

namespace briarhitch {

namespace {
    constexpr size_t maxHexDigits = 16;

    std::string paddedHex(uint64_t value)
    {
        char text[maxHexDigits + 1];
        std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(value));
        return text;
    }
}

std::string toString(RequestId id)
{
    return paddedHex(id.value());
}

std::string toString(RequestDigest digest)
{
    return paddedHex(digest.value());
}

std::string toString(AttemptId id)
{
    return toString(id.request) + "-" + std::to_string(id.number);
}

std::string toString(PromptPartId id)
{
    char text[maxHexDigits + 1];
    std::snprintf(text, sizeof(text), "%llx", static_cast<unsigned long long>(id.value()));
    return text;
}

RequestId parseRequestId(const std::string& text)
{
    if (text.size() != maxHexDigits || text.find_first_not_of("0123456789abcdef") != std::string::npos)
        return {};
    return RequestId(std::stoull(text, nullptr, 16));
}

}
