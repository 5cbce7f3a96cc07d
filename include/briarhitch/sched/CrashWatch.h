#pragma once

#include "briarhitch/sched/CrashSuspects.h"

#include <deque>
#include <map>
#include <vector>

namespace briarhitch {

/** How an attempt ended, as far as it shows whether its target still runs. */
enum class AttemptEnd : uint8_t {
    /** The target answered in full, also with an error of its own. */
    Answered,
    /** The target closed the connection before the answer was complete. */
    Broken,
    /** Neither: a timeout, an invalid answer, or a caller that left. */
    Unanswered,
    /** No target has seen it. */
    Unsent,
};

/**
 * Finds out when targets end, and which requests they ran then. A target counts as ended once it closes the connection of
 * an attempt, refuses connections, or is replaced; every attempt that it ran then is evidence, also one whose own connection
 * is silent or that was given up shortly before. Those that the target answered in full within the last second are evidence
 * against parts of their prompts. A target that still answers over a connection that it had before has closed
 * a single connection, and the evidence is withdrawn. Ends of targets that leave are no evidence.
 */
class CrashWatch {
public:
    /** The attempt may have reached the target. */
    void attemptGranted(AttemptId attempt, std::vector<SuspectId> ids, TargetId target, bool isStarted, Instant now);
    /** A part of the answer arrived; `connectionAge`: since its connection was opened, zero if not known. */
    std::vector<SuspectVerdict> attemptStarted(AttemptId attempt, Duration connectionAge, Instant now);
    /** `isTargetLeaving`: the target has announced its end. */
    std::vector<SuspectVerdict> attemptEnded(AttemptId attempt, AttemptEnd end, Duration connectionAge, bool isTargetLeaving, Instant now);
    /** The attempt is no longer watched, and shows nothing. */
    void forget(AttemptId attempt) { running_.erase(attempt); }
    /** The target refuses connections. */
    std::vector<SuspectVerdict> targetRefused(TargetId target, Instant now);
    /** The list of targets no longer has the target, or has a later start of it, though it had not announced its end. */
    std::vector<SuspectVerdict> targetReplaced(TargetId target, Instant now);
    /** To be called several times a second. */
    std::vector<SuspectVerdict> tick(Instant now);

    [[nodiscard]] CrashSuspects& suspects() { return suspects_; }
    [[nodiscard]] const CrashSuspects& suspects() const { return suspects_; }

private:
    struct Attempt {
        std::vector<SuspectId> ids;
        TargetId target;
        Instant grantedAt;
        /** When the first part of the answer arrived. */
        std::optional<Instant> startedAt {};
        bool isAnswered { false };
    };
    struct EndedAttempt {
        Attempt attempt;
        Instant at;
        /** Of an answered one: its target has lived on since. */
        bool isSettled { false };
    };
    /** A time in which a target cannot have ended and started again. */
    struct Life {
        Instant since;
        Instant until;
    };
    /** The presumed end of a target. */
    struct TargetEnd {
        TargetId target;
        Instant at;
        /** All that the target ran is recorded. */
        bool isSettled { false };
        bool areSilentAttemptsJudged { false };
    };

    TargetEnd* findEnd(TargetId target, Duration within, Instant now);
    /** Adds an end at this time, with the attempts that were given up on the target shortly before as evidence. */
    TargetEnd& addEnd(TargetId target, Duration givenUpWithin, Instant now, std::vector<SuspectVerdict>& verdicts);
    /** How long before the target ended the first part of its answer arrived. */
    [[nodiscard]] static std::optional<Duration> progressUntil(const TargetEnd& end, const Attempt& attempt);
    /** For each suspect of an attempt that has ended, the number of attempts with it that targets answer now. */
    [[nodiscard]] std::map<SuspectId, uint32_t> countRunning(const Attempt& ended) const;
    void recordAnswer(Attempt answered, Instant now, std::vector<SuspectVerdict>& verdicts);
    void settleAnswers(Instant now, std::vector<SuspectVerdict>& verdicts);
    void settle(EndedAttempt& answered, Instant now, std::vector<SuspectVerdict>& verdicts);
    void removeOldestAnswer(Instant now, std::vector<SuspectVerdict>& verdicts);
    void recordSurvivals(Instant now, std::vector<SuspectVerdict>& verdicts);
    /** The last answers of the target count against their parts. */
    void addAnsweredEvidence(const TargetEnd& end, Instant now, std::vector<SuspectVerdict>& verdicts);
    void addEvidence(const TargetEnd& end, const Attempt& attempt, Instant now, std::vector<SuspectVerdict>& verdicts);
    /** The target's attempts that were granted by then and still run are evidence, too. */
    void judgeSilentAttempts(TargetEnd& end, Instant grantedUntil, Instant now, std::vector<SuspectVerdict>& verdicts);
    /** The target answers over a connection of this age. */
    void recordLife(TargetId target, Duration connectionAge, Instant now, std::vector<SuspectVerdict>& verdicts);

    CrashSuspects suspects_;
    std::map<AttemptId, Attempt> running_;
    std::deque<EndedAttempt> givenUp_;
    /** With prompt parts by which their targets may still crash; for the request itself the answer counts at once. */
    std::deque<EndedAttempt> answered_;
    /** Of targets that answered in the last seconds. */
    std::map<TargetId, Life> lives_;
    std::deque<TargetEnd> ends_;
    Instant nextSurvivalCheck_ {};
};

}
