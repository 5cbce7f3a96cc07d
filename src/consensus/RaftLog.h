#pragma once

#include "briarhitch/core/Error.h"
#include "consensus/RaftTypes.h"

#include <deque>
#include <optional>

namespace briarhitch {

/** The log from its oldest kept entry on, in memory, with the memberships that its entries set. */
class RaftLog {
public:
    /** Damaged if a membership entry cannot be decoded or the entries do not follow the snapshot. */
    static Result<RaftLog> make(Membership initial, const SnapshotPtr& snapshot, std::vector<LogEntry> entries);

    /** The index just before the first entry that entry() can return. */
    [[nodiscard]] uint64_t baseIndex() const { return baseIndex_; }
    [[nodiscard]] uint64_t lastIndex() const { return baseIndex_ + entries_.size(); }
    [[nodiscard]] uint64_t lastTerm() const { return entries_.empty() ? baseTerm_ : entries_.back().term; }
    /** None before baseIndex() and after lastIndex(). */
    [[nodiscard]] std::optional<uint64_t> termAt(uint64_t index) const;
    [[nodiscard]] const LogEntry& entry(uint64_t index) const;
    /** Index of the first kept entry of the run that has the same term as this one. */
    [[nodiscard]] uint64_t firstOfTermAt(uint64_t index) const;
    [[nodiscard]] const SnapshotPtr& snapshot() const { return snapshot_; }

    [[nodiscard]] const Membership& membership() const { return memberships_.back().membership; }
    [[nodiscard]] uint64_t membershipIndex() const { return memberships_.back().index; }
    [[nodiscard]] const Membership& membershipAt(uint64_t index, uint64_t& setBy) const;
    /** The membership before the current one; null if it is not kept, which it is until the current one is in a snapshot. */
    [[nodiscard]] const Membership* previousMembership() const;
    /** The current membership is in a snapshot, or an entry after it states that it is committed. */
    [[nodiscard]] bool isMembershipConfirmed() const;

    /** False if it is a membership entry that cannot be decoded. */
    bool append(LogEntry entry);
    /** Drops this entry and all later ones. */
    void truncateFrom(uint64_t index);
    /** Takes the snapshot of an applied entry and drops entries up to `keepAfter`. */
    void compact(SnapshotPtr snapshot, uint64_t keepAfter);
    /** Replaces the log by a snapshot; later entries are kept if they follow it. */
    void install(SnapshotPtr snapshot);
    void setInitial(Membership initial);

private:
    struct MembershipAt {
        uint64_t index { 0 };
        Membership membership;
        /** The first entry which states that it is committed; zero: none. */
        uint64_t confirmedBy { 0 };
    };

    uint64_t baseIndex_ { 0 };
    uint64_t baseTerm_ { 0 };
    std::deque<LogEntry> entries_;
    SnapshotPtr snapshot_;
    /** Never empty; the first is the oldest one that may be needed again. */
    std::vector<MembershipAt> memberships_ { {} };
};

}
