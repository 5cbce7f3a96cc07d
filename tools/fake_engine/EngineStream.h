#pragma once

#include "briarhitch/runtime/FiberEvent.h"

#include <cstdint>
#include <string>

namespace briarhitch {

enum class StreamState : uint8_t {
    Waiting,
    Running,
    Done,
    /** Ended by DELETE. */
    Cancelled,
    /** Ended because no connection read it any more. */
    Abandoned,
    /** Refused by a fault, never run. */
    Refused,
    /** Refused for its old fencing token, never run. */
    Fenced,
};

/** One request that the engine received. */
struct EngineStream {
    explicit EngineStream(Loop& loop)
        : progressed(loop)
    {
    }

    [[nodiscard]] bool isOver() const { return state != StreamState::Waiting && state != StreamState::Running; }

    std::string id;
    uint64_t promptHash { 0 };
    int64_t promptTokens { 0 };
    int64_t cachedTokens { 0 };
    /** Prompt tokens that are still to be computed before the first token. */
    int64_t prefillLeft { 0 };
    int64_t tokensWanted { 0 };
    int64_t tokensDone { 0 };
    StreamState state { StreamState::Waiting };
    bool isChat { true };
    std::string model;
    std::string fencingToken;
    Instant arrivedAt;
    /** Crashes the engine when its first token is ready. */
    bool isDeadly { false };
    /** Connections that read the stream at present. */
    int readers { 0 };
    Instant lastRead;
    /** Set and reset with each token and at the end. */
    FiberEvent progressed;
};

}
