#include "briarhitch/model/Suspect.h"

#include <charconv>

namespace briarhitch {

namespace {

    constexpr std::string_view requestPrefix = "request-";
    constexpr std::string_view partPrefix = "part-";
    constexpr int hexBase = 16;

}

std::string_view toString(SuspectKind kind)
{
    return kind == SuspectKind::Request ? "request" : "prompt part";
}

std::string_view toString(SuspectState state)
{
    switch (state) {
    case SuspectState::Suspected:
        return "suspected";
    case SuspectState::Blocked:
        return "blocked";
    case SuspectState::Cleared:
        return "cleared";
    }
    return "unknown";
}

std::string valueText(SuspectId id)
{
    return id.kind == SuspectKind::Request ? toString(RequestDigest(id.value)) : toString(PromptPartId(id.value));
}

std::string toString(SuspectId id)
{
    return std::string(id.kind == SuspectKind::Request ? requestPrefix : partPrefix) + valueText(id);
}

std::optional<SuspectId> parseSuspectId(std::string_view text)
{
    bool isRequest = text.starts_with(requestPrefix);
    if (!isRequest && !text.starts_with(partPrefix))
        return std::nullopt;
    auto digits = text.substr((isRequest ? requestPrefix : partPrefix).size());
    uint64_t value = 0;
    auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value, hexBase);
    if (digits.empty() || error != std::errc() || end != digits.data() + digits.size())
        return std::nullopt;
    return SuspectId(isRequest ? SuspectKind::Request : SuspectKind::PromptPart, value);
}

}
