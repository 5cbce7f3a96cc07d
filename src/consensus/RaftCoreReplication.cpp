#include "consensus/RaftCore.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    // A joining member becomes a voter when it lacks at most this many entries, so that commits do not wait for it.
    constexpr uint64_t maxJoinLagEntries = 64;

}

std::optional<uint64_t> RaftCore::propose(Instant now, std::string command)
{
    if (role_ != RaftRole::Leader)
        return std::nullopt;
    appendAsLeader(now, EntryKind::Command, std::move(command));
    return log_.lastIndex();
}

Result<uint64_t> RaftCore::proposeMembership(Instant now, const Membership& membership)
{
    if (role_ != RaftRole::Leader)
        return fail(ErrorKind::NotLeader, "this voter is not the leader");
    if (!mayChangeMembership())
        return fail(ErrorKind::Unavailable, "an earlier membership change is not committed yet");
    // Majorities of two memberships that differ in more than one voter need not overlap.
    if (membership.voterCount() == 0 || log_.membership().changedVoters(membership) > 1)
        return fail(ErrorKind::BadRequest, "a membership change may add or remove one voter only");
    // A change that the new voters cannot commit would leave a group without a leader.
    if (now - peers_.quorumReplied(membership, losses_, now) > settings_.electionTimeoutMin)
        return fail(ErrorKind::Unavailable, "a quorum of the voters after the change does not reply");
    // Fewer voters must not make a majority of a leader and peers that were a minority.
    if (now - peers_.quorumReplied(log_.membership(), losses_, now) > settings_.electionTimeoutMin)
        return fail(ErrorKind::Unavailable, "a quorum of the voters before the change does not reply");
    appendAsLeader(now, EntryKind::Membership, encode(membership));
    return log_.lastIndex();
}

bool RaftCore::mayChangeMembership() const
{
    return commit_ >= termStart_ && isMembershipCommitted();
}

void RaftCore::appendAsLeader(Instant now, EntryKind kind, std::string data)
{
    bool appended = log_.append({ log_.lastIndex() + 1, hardState_.term, kind, std::move(data) });
    assert(appended);
    (void)appended;
    if (kind == EntryKind::Membership)
        updatePeers(log_.lastIndex(), now, now);
    for (auto& [node, peer] : peers_.all())
        sendLog(now, node, peer);
}

void RaftCore::advanceCommit(Instant now)
{
    uint64_t own = settings_.faults.acknowledgeUnsynced ? log_.lastIndex() : synced_;
    uint64_t index = storedByQuorums(own);
    if (index <= commit_)
        return;
    // An entry of an earlier term may still be overwritten although a majority has it.
    if (log_.termAt(index) != hardState_.term && !settings_.faults.commitEarlierTerms)
        return;
    bool wasMembershipCommitted = isMembershipCommitted();
    commit_ = index;
    if (!isMembershipCommitted())
        return;
    if (!wasMembershipCommitted)
        finishMembershipChange(now);
    if (role_ == RaftRole::Leader)
        confirmMembership(now);
}

uint64_t RaftCore::storedByQuorums(uint64_t own) const
{
    uint64_t index = peers_.quorumMatch(log_.membership(), losses_, own);
    // Voters that do not know of the change yet could elect a leader without it: half of an even group need none of the majority
    // of a smaller one.
    if (const auto* previous = previousMembers())
        index = std::min(index, peers_.quorumMatch(*previous, losses_, own));
    return index;
}

Instant RaftCore::repliedSendOfQuorums(Instant own) const
{
    auto sentAt = peers_.quorumRepliedSend(log_.membership(), losses_, own);
    if (const auto* previous = previousMembers())
        sentAt = std::min(sentAt, peers_.quorumRepliedSend(*previous, losses_, own));
    return sentAt;
}

void RaftCore::finishMembershipChange(Instant now)
{
    if (isSelfVoter())
        return updatePeers(log_.lastIndex() + 1, now, now);
    isLeaveConfirmed_ = isLeaving_;
    becomeFollower(now, hardState_.term, std::nullopt);
}

void RaftCore::confirmMembership(Instant now)
{
    if (!log_.isMembershipConfirmed())
        appendAsLeader(now, EntryKind::Noop, std::string(membershipConfirmation));
}

void RaftCore::updatePeers(uint64_t next, Instant now, Instant admittedAt)
{
    Membership members = log_.membership();
    // Voters that a change removes still count for its commit.
    if (const auto* previous = previousMembers()) {
        for (const auto& member : previous->members)
            members = members.find(member.node) ? members : members.with(member);
    }
    peers_.setMembership(members, next, now, admittedAt);
}

void RaftCore::tickLeader(Instant now)
{
    // A leader that gets no replies from a quorum steps down, so that callers look for another one.
    if (now - peers_.quorumReplied(log_.membership(), losses_, now) > settings_.electionTimeoutMax) {
        becomeFollower(now, hardState_.term, std::nullopt);
        return;
    }
    for (auto& [node, peer] : peers_.all()) {
        if (now - peer.lastSent >= settings_.heartbeatInterval)
            sendHeartbeat(now, node, peer);
    }
    promoteJoining(now);
    removeUnresponsiveVoter(now);
    if (isLeaving_ && hasSpareVoter() && mayChangeMembership())
        (void)proposeMembership(now, log_.membership().without(settings_.self));
}

bool RaftCore::hasSpareVoter() const
{
    return settings_.targetVoters > 0 && log_.membership().voterCount() > settings_.targetVoters;
}

bool RaftCore::hasLeft() const
{
    bool isLeaderWithoutSpare = role_ == RaftRole::Leader && isSelfVoter() && !hasSpareVoter() && log_.membershipIndex() <= commit_;
    return isLeaveConfirmed_ || isLeaderWithoutSpare || !isFormed();
}

void RaftCore::requestRemoval(Instant now)
{
    if (now < nextLeaveRequest_)
        return;
    nextLeaveRequest_ = now + settings_.heartbeatInterval;
    sendToVoters(message(RaftMessageKind::Leave));
}

void RaftCore::onLeave(Instant now, NodeId from, const RaftMessage& request)
{
    if (role_ != RaftRole::Leader)
        return;
    const auto* member = log_.membership().find(from);
    bool isVoter = member && member->incarnation == request.incarnation && member->role == MemberRole::Voter;
    bool isRemovable = isVoter && hasSpareVoter();
    if (isRemovable && mayChangeMembership())
        (void)proposeMembership(now, log_.membership().without(from));
    if (auto* peer = peers_.find(from, request.incarnation))
        peer->leavesUntil = now + settings_.unresponsiveTimeout;
    RaftMessage reply = message(RaftMessageKind::LeaveReply);
    // A change that is not committed may be lost with this leader.
    reply.accepted = !isRemovable && log_.membershipIndex() <= commit_;
    send(from, request.incarnation, std::move(reply));
}

void RaftCore::removeUnresponsiveVoter(Instant now)
{
    const auto& membership = log_.membership();
    // A lost voter is replaced before it is removed, so that no acknowledged entry loses a copy meanwhile.
    if (!hasSpareVoter() || !mayChangeMembership())
        return;
    const Member* longestSilent = nullptr;
    Instant silentSince = now;
    size_t silentVoters = 0;
    for (const auto& member : membership.members) {
        auto* peer = peers_.find(member.node, member.incarnation);
        if (!peer)
            continue;
        bool isSilent = now - peer->lastReplied > settings_.electionTimeoutMax;
        silentVoters += isSilent && member.role == MemberRole::Voter ? 1 : 0;
        if (peer->lastReplied < silentSince) {
            silentSince = peer->lastReplied;
            longestSilent = &member;
        }
    }
    // Several that are silent at once may be cut off rather than lost, and the one that is removed may not be the one that has
    // ended. While all others reply, the group has no voter too few after the change.
    auto timeout = silentVoters > 1 ? 2 * settings_.unresponsiveTimeout : settings_.unresponsiveTimeout;
    if (longestSilent && now - silentSince >= timeout)
        (void)proposeMembership(now, membership.without(longestSilent->node));
}

void RaftCore::promoteJoining(Instant now)
{
    if (!mayChangeMembership())
        return;
    for (const auto& member : log_.membership().members) {
        auto* peer = peers_.find(member.node, member.incarnation);
        if (member.role != MemberRole::Joining || !peer || peer->match + maxJoinLagEntries < log_.lastIndex() || peer->match == 0)
            continue;
        if (now - peer->lastReplied > settings_.electionTimeoutMin || now < peer->leavesUntil)
            continue;
        Member voter = member;
        voter.role = MemberRole::Voter;
        (void)proposeMembership(now, log_.membership().with(voter));
        return;
    }
}

void RaftCore::sendLog(Instant now, NodeId to, PeerProgress& peer)
{
    if (peer.mode == PeerMode::Snapshot || !log_.termAt(peer.next - 1)) {
        if (!peer.awaitingReply || peer.mode != PeerMode::Snapshot)
            sendChunk(now, to, peer);
        return;
    }
    if (peer.mode == PeerMode::Probe) {
        if (!peer.awaitingReply)
            sendEntries(now, to, peer, false);
        return;
    }
    while (peer.next <= log_.lastIndex() && peer.inFlight.size() < settings_.maxInFlight)
        sendEntries(now, to, peer, false);
}

void RaftCore::sendHeartbeat(Instant now, NodeId to, PeerProgress& peer)
{
    // Messages in flight may be lost: a probe or a chunk is sent again, and a rejected heartbeat starts a probe.
    if (peer.mode == PeerMode::Snapshot || !log_.termAt(peer.next - 1))
        sendChunk(now, to, peer);
    else
        sendEntries(now, to, peer, peer.mode == PeerMode::Replicate);
}

void RaftCore::sendEntries(Instant now, NodeId to, PeerProgress& peer, bool empty)
{
    RaftMessage append = message(RaftMessageKind::Append);
    append.index = peer.next - 1;
    append.indexTerm = *log_.termAt(append.index);
    append.commit = commit_;
    append.sentAt = now.time_since_epoch().count();
    size_t bytes = 0;
    uint64_t index = peer.next;
    while (!empty && index <= log_.lastIndex() && append.entries.size() < settings_.maxBatchEntries && bytes < settings_.maxBatchBytes) {
        bytes += log_.entry(index).data.size();
        append.entries.push_back(log_.entry(index++));
    }
    peer.lastSent = now;
    if (peer.mode == PeerMode::Probe) {
        peer.awaitingReply = true;
    } else if (!append.entries.empty()) {
        peer.next = index;
        peer.inFlight.push_back(index - 1);
    }
    send(to, peer.incarnation, std::move(append));
}

void RaftCore::sendChunk(Instant now, NodeId to, PeerProgress& peer)
{
    if (peer.mode != PeerMode::Snapshot || !peer.snapshot) {
        assert(log_.snapshot());
        peer.mode = PeerMode::Snapshot;
        peer.snapshot = log_.snapshot();
        peer.snapshotOffset = 0;
        peer.inFlight.clear();
    }
    const auto& snapshot = *peer.snapshot;
    RaftMessage chunk = message(RaftMessageKind::SnapshotChunk);
    chunk.index = snapshot.index;
    chunk.indexTerm = snapshot.term;
    chunk.membership = snapshot.membership;
    chunk.membershipIndex = snapshot.membershipIndex;
    chunk.sentAt = now.time_since_epoch().count();
    chunk.offset = peer.snapshotOffset;
    chunk.totalBytes = snapshot.data.size();
    chunk.chunk = snapshot.data.substr(peer.snapshotOffset, settings_.snapshotChunkBytes);
    peer.awaitingReply = true;
    peer.lastSent = now;
    send(to, peer.incarnation, std::move(chunk));
}

PeerProgress* RaftCore::recordReply(Instant now, NodeId from, const RaftMessage& reply)
{
    if (reply.term > hardState_.term) {
        becomeFollower(now, reply.term, std::nullopt);
        return nullptr;
    }
    if (role_ != RaftRole::Leader || reply.term < hardState_.term)
        return nullptr;
    const auto* member = log_.membership().find(from);
    auto incarnation = settings_.faults.ignoreIncarnations && member ? member->incarnation : reply.incarnation;
    auto* peer = peers_.find(from, incarnation);
    if (!peer || Instant(Duration(reply.sentAt)) < peer->admittedAt)
        return nullptr;
    peer->lastReplied = now;
    auto sentAt = std::min(Instant(Duration(reply.sentAt)), now);
    peer->lastRepliedSend = std::max(peer->lastRepliedSend, sentAt);
    return peer;
}

void RaftCore::onAppendReply(Instant now, NodeId from, const RaftMessage& reply)
{
    auto* peer = recordReply(now, from, reply);
    if (!peer || peer->mode == PeerMode::Snapshot)
        return;
    if (!reply.accepted) {
        // A rejection that arrives after later replies has no new information.
        if (reply.index <= peer->match || reply.index >= peer->next)
            return;
        peer->next = std::clamp(reply.nextIndexHint, peer->match + 1, reply.index);
        peer->mode = PeerMode::Probe;
        peer->awaitingReply = false;
        peer->inFlight.clear();
        sendLog(now, from, *peer);
        return;
    }
    if (reply.commit > log_.lastIndex())
        return;
    peer->match = std::max(peer->match, reply.commit);
    peer->next = std::max(peer->next, peer->match + 1);
    while (!peer->inFlight.empty() && peer->inFlight.front() <= peer->match)
        peer->inFlight.pop_front();
    if (peer->mode == PeerMode::Probe) {
        peer->mode = PeerMode::Replicate;
        peer->next = peer->match + 1;
        peer->awaitingReply = false;
    }
    advanceCommit(now);
    // The commit may have ended the leader's office, or this member's.
    peer = role_ == RaftRole::Leader ? peers_.find(from, reply.incarnation) : nullptr;
    if (peer)
        sendLog(now, from, *peer);
}

void RaftCore::onSnapshotReply(Instant now, NodeId from, const RaftMessage& reply)
{
    auto* peer = recordReply(now, from, reply);
    if (!peer || peer->mode != PeerMode::Snapshot || reply.index != peer->snapshot->index)
        return;
    if (reply.accepted) {
        peer->match = std::max(peer->match, reply.index);
        peer->next = peer->match + 1;
        peer->mode = PeerMode::Probe;
        peer->snapshot.reset();
    } else if (reply.offset <= peer->snapshot->data.size()) {
        peer->snapshotOffset = reply.offset;
    }
    peer->awaitingReply = false;
    sendLog(now, from, *peer);
}

bool RaftCore::acceptLeader(Instant now, NodeId from, const RaftMessage& request, RaftMessageKind replyKind)
{
    if (request.term < hardState_.term) {
        send(from, request.incarnation, message(replyKind));
        return false;
    }
    // Two leaders of one term cannot exist; the message is forged or corrupted.
    if (role_ == RaftRole::Leader && request.term == hardState_.term)
        return false;
    becomeFollower(now, request.term, from);
    lastLeaderContact_ = now;
    return true;
}

void RaftCore::onAppend(Instant now, NodeId from, RaftMessage& append)
{
    if (!acceptLeader(now, from, append, RaftMessageKind::AppendReply))
        return;
    RaftMessage reply = message(RaftMessageKind::AppendReply);
    reply.sentAt = append.sentAt;
    reply.index = append.index;
    bool agrees = append.index <= commit_ || log_.termAt(append.index) == append.indexTerm;
    if (!agrees) {
        bool isLogShorter = append.index > log_.lastIndex();
        reply.nextIndexHint = isLogShorter ? log_.lastIndex() + 1 : std::max(log_.firstOfTermAt(append.index), commit_ + 1);
        send(from, append.incarnation, std::move(reply));
        return;
    }
    uint64_t last = append.index + append.entries.size();
    mergeEntries(append);
    uint64_t lastMatching = std::min(last, log_.lastIndex());
    commit_ = std::max(commit_, std::min(append.commit, lastMatching));
    reply.accepted = true;
    reply.commit = lastMatching;
    send(from, append.incarnation, std::move(reply));
}

void RaftCore::mergeEntries(RaftMessage& append)
{
    for (auto& entry : append.entries) {
        if (entry.index <= commit_)
            continue;
        if (entry.index <= log_.lastIndex()) {
            if (log_.termAt(entry.index) == entry.term)
                continue;
            if (entry.index <= stored_) {
                ready_.truncateFrom = std::min(ready_.truncateFrom.value_or(entry.index), entry.index);
                stored_ = entry.index - 1;
                synced_ = std::min(synced_, stored_);
            }
            log_.truncateFrom(entry.index);
        }
        if (!log_.append(std::move(entry)))
            return;
    }
}

void RaftCore::onSnapshotChunk(Instant now, NodeId from, RaftMessage& chunk)
{
    if (!acceptLeader(now, from, chunk, RaftMessageKind::SnapshotReply) || chunk.totalBytes > settings_.maxSnapshotBytes)
        return;
    RaftMessage reply = message(RaftMessageKind::SnapshotReply);
    reply.sentAt = chunk.sentAt;
    reply.index = chunk.index;
    reply.accepted = chunk.index <= commit_;
    if (!reply.accepted) {
        bool isSame = incomingSnapshot_ && incomingSnapshot_->index == chunk.index && incomingSnapshot_->term == chunk.indexTerm;
        if (!isSame) {
            incomingSnapshot_ = std::make_shared<Snapshot>();
            *incomingSnapshot_ = { chunk.index, chunk.indexTerm, chunk.membership, chunk.membershipIndex, {} };
        }
        bool isInRange = chunk.chunk.size() <= chunk.totalBytes && chunk.offset <= chunk.totalBytes - chunk.chunk.size();
        if (isInRange && chunk.offset == incomingSnapshot_->data.size())
            incomingSnapshot_->data += chunk.chunk;
        reply.offset = incomingSnapshot_->data.size();
        if (incomingSnapshot_->data.size() == chunk.totalBytes) {
            finishSnapshot();
            reply.accepted = true;
        }
    }
    send(from, chunk.incarnation, std::move(reply));
}

void RaftCore::finishSnapshot()
{
    SnapshotPtr snapshot = std::move(incomingSnapshot_);
    incomingSnapshot_.reset();
    log_.install(snapshot);
    commit_ = snapshot->index;
    ready_.install = snapshot;
    bool storedFollows = log_.lastIndex() > snapshot->index && stored_ >= snapshot->index;
    if (storedFollows)
        return;
    // The stored entries do not extend beyond the snapshot, or conflict with it.
    ready_.dropLog = true;
    ready_.truncateFrom.reset();
    stored_ = synced_ = snapshot->index;
}

}
