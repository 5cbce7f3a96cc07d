#include "support/ExpectedAnswer.h"

#include "briarhitch/core/Digest.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

namespace briarhitch {

namespace {

    constexpr int64_t bytesPerToken = 4;
    constexpr uint64_t shortestAnswer = 16;
    // Answers without a limit differ in length by a factor of 16.
    constexpr uint64_t answerSpread = 240;

}

std::string promptOf(const nlohmann::json& request)
{
    if (!request.contains("messages"))
        return request.value("prompt", std::string());
    std::string prompt;
    for (const auto& message : request["messages"]) {
        // A photo comes as an array of parts; its JSON text stands for it.
        auto content = message.value("content", nlohmann::json(""));
        absl::StrAppend(&prompt, message.value("role", std::string("user")), ": ",
            content.is_string() ? content.get<std::string>() : content.dump(), "\n");
    }
    return prompt;
}

int64_t promptTokens(std::string_view prompt)
{
    return (static_cast<int64_t>(prompt.size()) + bytesPerToken - 1) / bytesPerToken;
}

int64_t answerTokens(std::string_view prompt, int64_t maxTokens)
{
    if (maxTokens > 0)
        return maxTokens;
    return static_cast<int64_t>(shortestAnswer + stableHash(prompt) % answerSpread);
}

std::string answerToken(uint64_t promptHash, int64_t index)
{
    auto value = stableHash(absl::StrCat(index), promptHash) & 0xffff;
    return absl::StrCat(absl::Hex(value, absl::kZeroPad4), " ");
}

std::string expectedAnswer(std::string_view prompt, int64_t maxTokens)
{
    std::string answer;
    auto hash = stableHash(prompt);
    for (int64_t index = 0; index < answerTokens(prompt, maxTokens); ++index)
        answer += answerToken(hash, index);
    return answer;
}

std::string checksumOf(std::string_view text)
{
    return absl::StrCat(absl::Hex(stableHash(text), absl::kZeroPad16));
}

}
