#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace briarhitch {

/** The text that the engine stand-in takes as the prompt of a chat or completion request. */
std::string promptOf(const nlohmann::json& request);
/** Length of a prompt in the stand-in's tokens. */
int64_t promptTokens(std::string_view prompt);
/** Number of tokens that the stand-in answers with; maxTokens of zero means no limit. */
int64_t answerTokens(std::string_view prompt, int64_t maxTokens);
/** One token of the answer to the prompt with this stableHash(). */
std::string answerToken(uint64_t promptHash, int64_t index);
/** The whole answer, so that a caller can tell its own answer from any other. */
std::string expectedAnswer(std::string_view prompt, int64_t maxTokens);
/** Sixteen hexadecimal digits of stableHash(). */
std::string checksumOf(std::string_view text);

}
