#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace briarhitch {

/** SHA-256 in lower-case hexadecimal, the form in which customers' and operators' keys are stored. */
std::string sha256Hex(std::string_view text);
/** The first 64 bits of the SHA-256, for ids that callers must not be able to choose. */
uint64_t sha256Prefix(std::string_view text);
/** Whether a text has the form that sha256Hex() returns. */
bool isSha256Hex(std::string_view text);
/** HMAC-SHA256, 32 raw bytes. */
std::string hmacSha256(std::string_view key, std::string_view text);
/** Compares texts in constant time for a given length, against timing attacks. */
bool constantTimeEqual(std::string_view left, std::string_view right);
/** A 64-bit hash that is the same in every process and version; not for secrets. */
uint64_t stableHash(std::string_view text, uint64_t seed = 0);

}
