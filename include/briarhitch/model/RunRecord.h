#pragma once

#include "briarhitch/core/Ids.h"

#include <optional>
#include <string>

namespace briarhitch {

/** Identifies one non-idempotent request of one customer. */
struct RunKey {
    CustomerId customer;
    std::string idempotencyKey;

    auto operator<=>(const RunKey&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(customer, idempotencyKey);
    }

    template <class H>
    friend H AbslHashValue(H hash, const RunKey& key)
    {
        return H::combine(std::move(hash), key.customer, key.idempotencyKey);
    }
};

enum class RunState : uint8_t {
    /** Claimed by an attempt; the request may have been sent. */
    Claimed,
    /** Executed, and its response is known. */
    Done,
    /** Definitely not executed; the key may be claimed again. */
    NotRun,
    /** May have been executed; is never sent again. */
    Unknown,
};

/** A target's complete response. */
struct RecordedResponse {
    uint16_t status { 0 };
    std::string contentType;
    std::string body;

    bool operator==(const RecordedResponse&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(status, contentType, body);
    }
};

/** Largest response body that a run record keeps. */
inline constexpr size_t maxRecordedBodyBytes = 64 * 1024;

struct RunRecord {
    RunKey key;
    /** Digest of method, path and body; a request with the same key and another digest is a conflict. */
    uint64_t digest { 0 };
    AttemptId attempt;
    NodeId node;
    Incarnation nodeIncarnation;
    RunState state { RunState::Claimed };
    /** Not set if the response was too large or the record is retired. */
    std::optional<RecordedResponse> response;

    bool operator==(const RunRecord&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(key, digest, attempt, node, nodeIncarnation, state, response);
    }
};

}
