#include "briarhitch/core/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace briarhitch {

namespace {

    const unsigned char* bytesOf(std::string_view text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

}

bool isSha256Hex(std::string_view text)
{
    return text.size() == 2 * SHA256_DIGEST_LENGTH && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string sha256Hex(std::string_view text)
{
    static constexpr char digits[] = "0123456789abcdef";
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(bytesOf(text), text.size(), digest);
    std::string hex;
    hex.reserve(2 * sizeof(digest));
    for (unsigned char byte : digest) {
        hex.push_back(digits[byte >> 4]);
        hex.push_back(digits[byte & 15]);
    }
    return hex;
}

uint64_t sha256Prefix(std::string_view text)
{
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(bytesOf(text), text.size(), digest);
    uint64_t prefix = 0;
    for (size_t i = 0; i < sizeof(prefix); ++i)
        prefix = prefix << 8 | digest[i];
    return prefix;
}

std::string hmacSha256(std::string_view key, std::string_view text)
{
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytesOf(text), text.size(), digest, &size);
    return { reinterpret_cast<const char*>(digest), size };
}

bool constantTimeEqual(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

uint64_t stableHash(std::string_view text, uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

}
