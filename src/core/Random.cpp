#include "briarhitch/core/Random.h"

#include <cstdlib>
#include <openssl/rand.h>

namespace briarhitch {

uint64_t systemSeed()
{
    std::random_device device;
    return (static_cast<uint64_t>(device()) << 32) | device();
}

std::string secureRandomBytes(size_t count)
{
    std::string bytes(count, '\0');
    // No handshake is secure without a secure random source, so there is no fallback.
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1)
        std::abort();
    return bytes;
}

}
