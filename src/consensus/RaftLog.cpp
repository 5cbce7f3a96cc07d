#include "consensus/RaftLog.h"

#include "wire/Codec.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

Result<RaftLog> RaftLog::make(Membership initial, const SnapshotPtr& snapshot, std::vector<LogEntry> entries)
{
    RaftLog log;
    log.memberships_ = { { 0, std::move(initial) } };
    if (snapshot)
        log.install(snapshot);
    if (entries.empty())
        return log;
    uint64_t snapshotIndex = snapshot ? snapshot->index : 0;
    if (entries.front().index > snapshotIndex + 1)
        return fail(ErrorKind::Damaged, "log starts at entry " + std::to_string(entries.front().index) + " but the snapshot ends at " + std::to_string(snapshotIndex));
    size_t first = 0;
    if (entries.front().index <= snapshotIndex) {
        // The oldest entry only serves as the base, because the term before it is not known.
        log.baseIndex_ = entries.front().index;
        log.baseTerm_ = entries.front().term;
        first = 1;
    }
    for (size_t i = first; i < entries.size(); ++i) {
        uint64_t index = entries[i].index;
        if (index != log.lastIndex() + 1)
            return fail(ErrorKind::Damaged, "log has a gap before entry " + std::to_string(index));
        if (index <= snapshotIndex)
            log.entries_.push_back(std::move(entries[i]));
        else if (!log.append(std::move(entries[i])))
            return fail(ErrorKind::Damaged, "membership in entry " + std::to_string(index) + " cannot be read");
    }
    if (snapshot && log.termAt(snapshotIndex) != snapshot->term)
        log.install(snapshot);
    return log;
}

std::optional<uint64_t> RaftLog::termAt(uint64_t index) const
{
    if (index == baseIndex_)
        return baseTerm_;
    if (index < baseIndex_ || index > lastIndex())
        return std::nullopt;
    return entry(index).term;
}

const LogEntry& RaftLog::entry(uint64_t index) const
{
    assert(index > baseIndex_ && index <= lastIndex());
    return entries_[index - baseIndex_ - 1];
}

uint64_t RaftLog::firstOfTermAt(uint64_t index) const
{
    uint64_t first = index;
    while (first > baseIndex_ + 1 && entry(first - 1).term == entry(index).term)
        --first;
    return first;
}

const Membership& RaftLog::membershipAt(uint64_t index, uint64_t& setBy) const
{
    size_t i = memberships_.size() - 1;
    while (i > 0 && memberships_[i].index > index)
        --i;
    setBy = memberships_[i].index;
    return memberships_[i].membership;
}

const Membership* RaftLog::previousMembership() const
{
    return memberships_.size() < 2 ? nullptr : &memberships_[memberships_.size() - 2].membership;
}

bool RaftLog::isMembershipConfirmed() const
{
    uint64_t snapshotIndex = snapshot_ ? snapshot_->index : 0;
    return memberships_.back().confirmedBy != 0 || memberships_.back().index <= snapshotIndex;
}

bool RaftLog::append(LogEntry entry)
{
    assert(entry.index == lastIndex() + 1);
    if (entry.kind == EntryKind::Membership) {
        auto membership = decode<Membership>(entry.data);
        if (!membership)
            return false;
        memberships_.push_back({ entry.index, std::move(*membership) });
    } else if (entry.kind == EntryKind::Noop && entry.data == membershipConfirmation && !isMembershipConfirmed()) {
        memberships_.back().confirmedBy = entry.index;
    }
    entries_.push_back(std::move(entry));
    return true;
}

void RaftLog::truncateFrom(uint64_t index)
{
    assert(index > baseIndex_);
    while (lastIndex() >= index)
        entries_.pop_back();
    while (memberships_.size() > 1 && memberships_.back().index >= index)
        memberships_.pop_back();
    if (memberships_.back().confirmedBy >= index)
        memberships_.back().confirmedBy = 0;
}

void RaftLog::compact(SnapshotPtr snapshot, uint64_t keepAfter)
{
    assert(snapshot->index <= lastIndex());
    keepAfter = std::min(keepAfter, snapshot->index);
    while (baseIndex_ < keepAfter) {
        baseTerm_ = entries_.front().term;
        ++baseIndex_;
        entries_.pop_front();
    }
    while (memberships_.size() > 1 && memberships_[1].index <= snapshot->index)
        memberships_.erase(memberships_.begin());
    snapshot_ = std::move(snapshot);
}

void RaftLog::install(SnapshotPtr snapshot)
{
    bool follows = snapshot->index > baseIndex_ && termAt(snapshot->index) == snapshot->term;
    if (follows) {
        compact(snapshot, snapshot->index);
        return;
    }
    entries_.clear();
    baseIndex_ = snapshot->index;
    baseTerm_ = snapshot->term;
    memberships_ = { { snapshot->membershipIndex, snapshot->membership } };
    snapshot_ = std::move(snapshot);
}

void RaftLog::setInitial(Membership initial)
{
    assert(memberships_.front().index == 0);
    memberships_.front().membership = std::move(initial);
}

}
