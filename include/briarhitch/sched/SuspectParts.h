#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/model/PartState.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace briarhitch {

/** A target that ended while it had not begun to answer a request with a certain part. */
struct PartCrash {
    TargetId target;
    Instant at;
};

/** Change of what is believed of a part of prompts. */
struct PartVerdict {
    PartState state { PartState::Suspected };
    PromptPartId part;
    /** All crashes that count against it. */
    uint32_t crashes { 0 };
    /** The latest of them. */
    std::vector<PartCrash> evidence;
    /** Zero unless blocked: time until a trial. */
    Duration blockedFor { 0 };
};

/** A part for which a request is refused. */
struct PartBlock {
    PromptPartId part;
    uint32_t crashes { 0 };
    /** Time until a request with it may be tried. */
    Duration remaining { 0 };
};

/**
 * Finds parts of prompts that crash each target which begins to answer a request with them. A part counts as sound while
 * targets begin to answer requests that have it; it is blocked after crashes without that in between. Memory is bounded. Does
 * no I/O and reads no clock.
 */
class SuspectParts {
public:
    /** The target closed the connection of an attempt with these parts before its first event. */
    std::vector<PartVerdict> recordBreak(const std::vector<PromptPartId>& parts, TargetId target, Instant now);
    /** A target began to answer an attempt with these parts. */
    std::vector<PartVerdict> recordStart(const std::vector<PromptPartId>& parts, Instant now);
    /** Adopts what another node believes. */
    std::optional<PartVerdict> merge(const PartVerdict& verdict, Instant now);

    /** The first of these parts for which a request is refused now; none if it may be sent, or tried (needsTrial()). */
    [[nodiscard]] std::optional<PartBlock> findBlock(const std::vector<PromptPartId>& parts, Instant now) const;
    /** The same without trials: blocked parts are refused until they are cleared. */
    [[nodiscard]] std::optional<PartBlock> findBlockWithoutTrial(const std::vector<PromptPartId>& parts, Instant now) const;
    /** Whether a request with these parts would be a trial of a blocked one. */
    [[nodiscard]] bool needsTrial(const std::vector<PromptPartId>& parts) const;
    /** Whether any of these parts has crashes against it; such requests run best where they endanger least. */
    [[nodiscard]] bool hasSuspect(const std::vector<PromptPartId>& parts) const;
    /** Blocks the parts for other requests until the attempt has started, broken or ended. */
    void beginTrial(const std::vector<PromptPartId>& parts, AttemptId attempt, Instant now);
    /** The attempt ended without evidence for or against its parts. */
    void endTrial(const std::vector<PromptPartId>& parts, AttemptId attempt, Instant now);

    /** Removes what is too old to count. */
    void tick(Instant now);
    [[nodiscard]] std::vector<PartVerdict> verdicts(Instant now) const;
    [[nodiscard]] size_t blockedCount() const;

private:
    struct Suspicion {
        uint32_t crashes { 0 };
        std::deque<PartCrash> evidence;
        bool isBlocked { false };
        Instant blockedUntil {};
        std::optional<AttemptId> trial;
        Instant trialBeganAt {};
        Instant lastCrashAt {};
    };
    struct StartRecord {
        PromptPartId part;
        Instant at;
    };

    [[nodiscard]] bool isBlockedAt(const Suspicion& suspicion, Instant now) const;
    [[nodiscard]] bool isEnough(const Suspicion& suspicion, PromptPartId part, Instant now) const;
    static void addCrash(Suspicion& suspicion, const PartCrash& crash);
    [[nodiscard]] static PartVerdict verdictOf(PartState state, PromptPartId part, const Suspicion& suspicion, Instant now);
    Suspicion& findOrCreate(PromptPartId part);
    void recordSound(PromptPartId part, Instant now);

    std::unordered_map<PromptPartId, Suspicion> suspicions_;
    std::unordered_map<PromptPartId, Instant> lastStartAt_;
    /** In order of time; holds an element for each change in lastStartAt_. */
    std::deque<StartRecord> starts_;
};

}
