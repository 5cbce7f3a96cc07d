#pragma once

#include "briarhitch/core/Ids.h"

#include <string>

namespace briarhitch {

enum class TargetKind : uint8_t {
    /** A language model engine with the OpenAI-compatible API. */
    Engine,
    /** A plain HTTP service. */
    Service,
};

enum class TargetState : uint8_t {
    Active,
    /** Gets no new work; work in flight goes on. */
    Draining,
    Retired,
};

/** A back end that requests are sent to. */
struct Target {
    TargetId id;
    std::string name;
    Version version;
    TargetKind kind { TargetKind::Engine };
    TargetState state { TargetState::Active };
    /** Model name of an engine, or service name. */
    std::string serves;
    std::string region;
    std::string zone;
    /** IP address and port. */
    std::string host;
    uint16_t port { 0 };
    /** Hardware generation, for example "g3"; targets of one generation share their starting estimates. */
    std::string hardware;
    /** Requests that the target runs side by side; starting size of its window. */
    uint32_t slots { 8 };
    /** Whether the target refuses orders and requests with an old fencing token. */
    bool checksFencing { false };
    PoolId pool;
    /** Kept up to date by discovery instead of by operators. */
    bool isDiscovered { false };
    /** Tokens that an engine's memory holds; zero if unknown. */
    int64_t memoryTokens { 0 };
    /** Tokens in one event of an engine's stream. */
    uint32_t tokensPerEvent { 1 };
    /** Start of its present incarnation as it states it, in Unix milliseconds; zero if it does not. */
    uint64_t incarnationStartMs { 0 };

    bool operator==(const Target&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(id, name, version, kind, state, serves, region, zone, host, port, hardware, slots, checksFencing, pool, isDiscovered, memoryTokens, tokensPerEvent, incarnationStartMs);
    }
};

}
