#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/model/Suspect.h"
#include "briarhitch/sched/SoundHistory.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace briarhitch {

/** A target that ended while it ran a suspect. */
struct SuspectCrash {
    TargetId target;
    Instant at;
    /** Time from the first part of the answer that the target sent, if it had sent any; of several requests, the shortest. */
    std::optional<Duration> progress {};
    /** Of a prompt part: the requests with it that the target ran. */
    std::vector<RequestDigest> requests;
};

/** What is believed of a suspect, after a change or as told to another node. */
struct SuspectVerdict {
    SuspectState state { SuspectState::Suspected };
    SuspectId id;
    /** All crashes that count against it; the latest are listed. */
    uint32_t crashes { 0 };
    uint32_t sendsAfterThirdCrash { 0 };
    /** Targets answered it shortly before its first crash. */
    bool wasSound { false };
    /** Longest time from the first part of an answer to a crash; none if no crash came after a part of an answer. */
    std::optional<Duration> longestProgress {};
    std::vector<SuspectCrash> evidence;
    /** Zero unless blocked: time until a trial. */
    Duration blockedFor { 0 };
    /**
     * Of a prompt part: requests with it that targets began to answer, from those on that ran at its first crash, without those that
     * were given up.
     */
    uint32_t attempts { 0 };
};

/** The suspect for which a request is refused. */
struct SuspectBlock {
    SuspectId id;
    uint32_t crashes { 0 };
    /** Time until a request with it may be tried. */
    Duration remaining { 0 };
};

/**
 * Decides which requests, and which parts of prompts, crash the targets that run them, from what ran on targets that ended.
 *
 * - A request is sound once a target has answered it. It is blocked after two crashes without an answer in between; a crash
 *   after a part of the answer counts half. Once it is blocked, it explains its crashes: requests that ran beside it are not
 *   suspected for them.
 * - A part is sound while targets begin to answer requests with it. It is blocked after two crashes with different requests
 *   without that in between; several crashes by one request show nothing about its parts.
 * - A part that crashes targets after a part of the answer is sound once a target has answered a request with it in full and
 *   has lived on. It is blocked after four such crashes, if at least one in three of the requests with it ended its target. A
 *   request that still runs counts as one that did not, and removes no crash, since it may end its target later.
 * - What targets answered shortly before is in many requests that targets run when they end, and needs five crashes.
 * - A blocked suspect is tried alone, by one request at a time. A request that has crashed three targets is tried three
 *   times more at most, until an operator clears it; sends after the third crash count against that.
 *
 * Memory is bounded. Does no I/O and reads no clock.
 */
class CrashSuspects {
public:
    /** The target ended while it ran the request; `progress`: since the first part of its answer, none if there was none. */
    std::vector<SuspectVerdict> recordRequestCrash(RequestDigest request, TargetId target, Instant at, std::optional<Duration> progress, Instant now);
    /** The same for a part of the request's prompt. `running`: other requests with the part that targets answer now. */
    std::vector<SuspectVerdict> recordPartCrash(PromptPartId part, RequestDigest request, TargetId target, Instant at, std::optional<Duration> progress, uint32_t running, Instant now);
    /** A target began to answer a request with these parts. */
    std::vector<SuspectVerdict> recordStart(const std::vector<SuspectId>& ids, Instant now);
    /**
     * A target has gone on with a request with these parts for this long since the first part of its answer. Ends blocks, but
     * removes no crashes: the attempt may still crash its target.
     */
    std::vector<SuspectVerdict> recordSurvival(const std::vector<SuspectId>& ids, Duration survived, Instant now);
    /** An attempt with these parts, which a target had begun to answer, ended without evidence for or against them. */
    void withdrawAttempt(const std::vector<SuspectId>& ids);
    /** A target answered the request in full. */
    std::vector<SuspectVerdict> recordAnswer(const std::vector<SuspectId>& ids, Instant now);
    /** A target has answered a request with these parts in full, and lived on for a moment. Ends blocks of parts, but removes no crashes. */
    std::vector<SuspectVerdict> recordSettledAnswer(const std::vector<SuspectId>& ids, Instant now);
    /** Removes the crashes of parts until then: a target has answered a request with them in full, and has not ended since. */
    std::vector<SuspectVerdict> removePartCrashes(const std::vector<SuspectId>& ids, Instant until, Instant now);
    /**
     * To be called once all that the target ran at its end is recorded: withdraws the crashes of blocked requests that it ran
     * from the requests that ran beside them.
     */
    void explainCrash(TargetId target, Instant at);
    /** The target had not ended at that time after all. */
    std::vector<SuspectVerdict> withdrawCrash(TargetId target, Instant at, Instant now);

    /** Adopts what another node believes. */
    std::optional<SuspectVerdict> merge(const SuspectVerdict& verdict, Instant now);
    /** Adopts a block of the replicated log, unless a target has answered the suspect since. */
    void adopt(const SuspectRecord& record, Instant now);
    void erase(SuspectId id) { suspicions_.erase(id); }

    /** The first of these for which a request is refused now; none if it may be sent, or tried (needsTrial()). */
    [[nodiscard]] std::optional<SuspectBlock> findBlock(const std::vector<SuspectId>& ids, Instant now) const;
    /** The same without trials: blocked suspects are refused until they are cleared. */
    [[nodiscard]] std::optional<SuspectBlock> findBlockWithoutTrial(const std::vector<SuspectId>& ids, Instant now) const;
    /** Whether a request with these would be a trial of a blocked one. */
    [[nodiscard]] bool needsTrial(const std::vector<SuspectId>& ids) const;
    /** Whether any of these has crashes against it; such requests run best where they endanger least. */
    [[nodiscard]] bool hasSuspect(const std::vector<SuspectId>& ids) const;
    /** Blocks the suspects for other requests until the attempt has been answered, broken or ended. */
    std::vector<SuspectVerdict> beginTrial(const std::vector<SuspectId>& ids, AttemptId attempt, Instant now);
    /** The attempt ended without evidence for or against them. `isUnsent`: no target has seen it. */
    void endTrial(const std::vector<SuspectId>& ids, AttemptId attempt, bool isUnsent, Instant now);

    /** Whether there are parts that crashed targets after a part of the answer. */
    [[nodiscard]] bool hasPartsWithProgress() const;

    /** Removes what is too old to count. */
    void tick(Instant now);
    /** Blocked ones first, then those with the most crashes, then the latest; at most `limit`. */
    [[nodiscard]] std::vector<SuspectVerdict> verdicts(Instant now, size_t limit) const;
    [[nodiscard]] size_t size() const { return suspicions_.size(); }
    [[nodiscard]] size_t blockedCount() const;

private:
    struct Suspicion {
        /** Crashes that are no longer listed as evidence. */
        uint32_t olderCrashes { 0 };
        std::deque<SuspectCrash> evidence;
        /** Targets answered it shortly before its first crash. */
        bool wasSound { false };
        /** Set once a crash came after a part of the answer; then the start of an answer does not clear a part. */
        std::optional<Duration> longestProgress {};
        uint32_t sendsAfterThirdCrash { 0 };
        /** See SuspectVerdict; zero if it is not known. */
        uint32_t attempts { 0 };
        bool isBlocked { false };
        Instant blockedUntil {};
        std::optional<AttemptId> trial;
        Instant trialBeganAt {};
        Instant lastCrashAt {};
    };

    [[nodiscard]] static uint32_t crashCount(const Suspicion& suspicion);
    [[nodiscard]] bool isEnough(SuspectId id, const Suspicion& suspicion, Instant now) const;
    [[nodiscard]] static bool isFinal(SuspectId id, const Suspicion& suspicion);
    [[nodiscard]] static Duration blockTime(SuspectId id, const Suspicion& suspicion);
    [[nodiscard]] static bool isBlockedAt(SuspectId id, const Suspicion& suspicion, Instant now);
    [[nodiscard]] static SuspectVerdict verdictOf(SuspectState state, SuspectId id, const Suspicion& suspicion, Instant now);
    [[nodiscard]] const SoundHistory& soundHistoryOf(SuspectId id, bool crashesAfterStart) const;
    /** Whether going on for so long speaks against all crashes, which came after a part of the answer. */
    [[nodiscard]] static bool isOutlived(const Suspicion& suspicion, Duration survived);
    Suspicion& findOrCreate(SuspectId id, Instant now);
    /** Adds evidence; crashes of one end of a target, and crashes of a part by one request, count once. */
    void addCrash(SuspectId id, Suspicion& suspicion, const SuspectCrash& crash, Instant now) const;
    std::vector<SuspectVerdict> recordCrash(SuspectId id, const SuspectCrash& crash, uint32_t running, Instant now);
    /** For a suspect that has lost evidence. */
    std::vector<SuspectVerdict> unblockIfTooWeak(SuspectId id, Suspicion& suspicion, Instant now) const;
    void removeExplained(const std::deque<SuspectCrash>& explained);
    static void unblock(SuspectId id, Suspicion& suspicion, Instant now, std::vector<SuspectVerdict>& cleared);
    void clear(SuspectId id, Instant now, std::vector<SuspectVerdict>& cleared);

    std::map<SuspectId, Suspicion> suspicions_;
    SoundHistory answeredRequests_;
    SoundHistory startedParts_;
    /** Parts of requests that were answered in full. */
    SoundHistory answeredParts_;
};

}
