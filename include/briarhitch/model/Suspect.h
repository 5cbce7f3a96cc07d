#pragma once

#include "briarhitch/core/Ids.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarhitch {

enum class SuspectKind : uint8_t {
    /** A request with all its repeats; identified by its RequestDigest. */
    Request,
    /** A part of prompts that several requests share. */
    PromptPart,
};

/** What may crash each target that runs it. */
struct SuspectId {
    SuspectKind kind { SuspectKind::Request };
    uint64_t value { 0 };

    SuspectId() = default;
    SuspectId(SuspectKind suspectKind, uint64_t suspectValue)
        : kind(suspectKind)
        , value(suspectValue)
    {
    }
    explicit SuspectId(RequestDigest digest)
        : SuspectId(SuspectKind::Request, digest.value())
    {
    }
    explicit SuspectId(PromptPartId part)
        : SuspectId(SuspectKind::PromptPart, part.value())
    {
    }

    auto operator<=>(const SuspectId&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(kind, value);
    }

    template <class H>
    friend H AbslHashValue(H hash, SuspectId id)
    {
        return H::combine(std::move(hash), id.kind, id.value);
    }
};

enum class SuspectState : uint8_t {
    /** It may have crashed a target; requests with it still run. */
    Suspected,
    /** Requests with it are refused, apart from single trials. */
    Blocked,
    /** A target answered a request with it, or an operator cleared it. */
    Cleared,
};

/** A blocked suspect in the replicated control log, so that the block outlives the nodes that have seen its crashes. */
struct SuspectRecord {
    SuspectId id;
    /** Targets that ended while they ran it. */
    uint32_t crashes { 0 };
    /** Times that it was sent after the third crash. */
    uint32_t sendsAfterThirdCrash { 0 };
    /** Targets answered it shortly before its first crash. */
    bool wasSound { false };
    /** Wall clock of the leader when the record last changed, in Unix milliseconds. */
    int64_t changedAtMs { 0 };
    /** Longest time from the first part of an answer to a crash; none if no crash came after a part of an answer. */
    std::optional<uint32_t> longestProgressMs {};

    bool operator==(const SuspectRecord&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(id, crashes, sendsAfterThirdCrash, wasSound, changedAtMs, longestProgressMs);
    }
};

/** "request" or "prompt part". */
std::string_view toString(SuspectKind kind);
std::string_view toString(SuspectState state);
/** Hexadecimal, as in the logs: the digest of a request, or a part's id as callers name it. */
std::string valueText(SuspectId id);
/** "request-HEX" or "part-HEX", as operators name it. */
std::string toString(SuspectId id);
/** The inverse of toString(SuspectId); none for any other text. */
std::optional<SuspectId> parseSuspectId(std::string_view text);

}
