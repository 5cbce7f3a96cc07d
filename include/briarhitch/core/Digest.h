#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace briarhitch {

/** SHA-256 in lower-case hexadecimal; how customers' and operators' keys are kept. */
std::string sha256Hex(std::string_view text);
/** Whether a text has the form that sha256Hex() returns. */
bool isSha256Hex(std::string_view text);
/** HMAC-SHA256, 32 raw bytes. */
std::string hmacSha256(std::string_view key, std::string_view text);
/** Compares in a time that does not depend on where the texts differ. */
bool constantTimeEqual(std::string_view left, std::string_view right);
/** A 64-bit hash that is the same in every process and version; not for secrets. */
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

}
