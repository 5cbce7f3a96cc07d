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
    /** Gets no new requests; those in flight continue. */
    Draining,
    Retired,
};

/** A back end that serves requests. */
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
    /** Hardware generation, for example "g3"; targets of one generation share their initial performance estimates. */
    std::string hardware;
    /** Requests that the target runs concurrently; initial size of its concurrency window. */
    uint32_t slots { 8 };
    /** Whether the target rejects requests with an old fencing token. */
    bool checksFencing { false };
    PoolId pool;
    /** Maintained by discovery instead of by operators. */
    bool isDiscovered { false };
    /** Tokens that fit into an engine's KV cache; zero if unknown. */
    int64_t memoryTokens { 0 };
    /** Tokens per event of an engine's stream. */
    uint32_t tokensPerEvent { 1 };
    /** Start of the target's current incarnation as reported by the target, in Unix milliseconds; zero if not reported. */
    uint64_t incarnationStartMs { 0 };
    /** Version of the software that the target runs; empty if unknown. Versions have no order. */
    std::string softwareVersion {};

    bool operator==(const Target&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(id, name, version, kind, state, serves, region, zone, host, port, hardware, slots, checksFencing, pool, isDiscovered, memoryTokens, tokensPerEvent, incarnationStartMs, softwareVersion);
    }
};

}
