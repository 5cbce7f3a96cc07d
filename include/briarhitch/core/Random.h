#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace briarhitch {

/** A seeded random number generator with the same sequence on every machine. */
class Random {
public:
    explicit Random(uint64_t seed)
        : engine_(seed)
    {
    }

    uint64_t next() { return engine_(); }
    /** Uniform in [0, bound); bound must not be zero. */
    uint64_t below(uint64_t bound) { return engine_() % bound; }
    /** Uniform in [0, 1). */
    double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
    bool chance(double probability) { return unit() < probability; }

private:
    std::mt19937_64 engine_;
};

/** A seed from the operating system, for ids and back-off jitter of daemons. */
uint64_t systemSeed();
/** Cryptographically secure random bytes for nonces and keys. */
std::string secureRandomBytes(size_t count);

}
