#include "briarhitch/core/Ids.h"

#include <cstdio>

namespace briarhitch {

namespace {
    constexpr size_t requestIdDigits = 16;
}

std::string toString(RequestId id)
{
    char text[requestIdDigits + 1];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(id.value()));
    return text;
}

std::string toString(AttemptId id)
{
    return toString(id.request) + "-" + std::to_string(id.number);
}

RequestId parseRequestId(const std::string& text)
{
    if (text.size() != requestIdDigits || text.find_first_not_of("0123456789abcdef") != std::string::npos)
        return {};
    return RequestId(std::stoull(text, nullptr, 16));
}

}
