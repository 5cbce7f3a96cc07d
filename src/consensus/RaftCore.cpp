#include "consensus/RaftCore.h"

#include <algorithm>
#include <cassert>

namespace briarhitch {

namespace {

    // Clocks of two VMs differ in speed by at most this factor (design, section 6.1).
    constexpr double clockDriftBound = 1.05;
    /** Pre-vote rounds within one election timeout. */
    constexpr int preVotesPerTimeout = 4;
    /**
     * The first pre-votes of voters that started together are spread over a random election timeout divided by this.
     */
    constexpr int startSpreadDivisor = 8;

    bool isWellFormed(const RaftMessage& message)
    {
        auto kind = static_cast<uint8_t>(message.kind);
        if (kind == 0 || kind > maxRaftMessageKind)
            return false;
        uint64_t index = message.index;
        uint64_t term = message.indexTerm;
        for (const auto& entry : message.entries) {
            if (entry.index != ++index || entry.term < term || entry.term > message.term)
                return false;
            term = entry.term;
        }
        return true;
    }

}

RaftCore::RaftCore(RaftCoreSettings settings, HardState hardState, RaftLog log, Instant now)
    : settings_(std::move(settings))
    , hardState_(std::move(hardState))
    , log_(std::move(log))
    , random_(settings_.seed)
    , stored_(log_.lastIndex())
    , synced_(stored_)
    // A leader may hold a lease that depends on a reply which this voter sent before it was restarted.
    , lastLeaderContact_(settings_.faults.voteRightAfterRestart ? Instant() : now)
    , peers_(settings_.self)
{
    assert(hardState_.incarnation.isValid());
    if (log_.snapshot())
        commit_ = applied_ = log_.snapshot()->index;
    // No leader is known. When all have started together, the last voter that a majority needs grants votes, and
    // becomes a candidate, only when electionTimeoutMin has passed since its start. The first pre-vote comes right
    // after this.
    electionDeadline_ = now + settings_.electionTimeoutMin + randomTimeout() / startSpreadDivisor;
    // With its initial membership, a sole voter cannot have had another leader that still holds a lease.
    if (isSelfVoter() && log_.membership().members.size() == 1 && log_.membershipIndex() == 0)
        startPreVote(now);
}

Duration RaftCore::randomTimeout()
{
    auto span = static_cast<uint64_t>((settings_.electionTimeoutMax - settings_.electionTimeoutMin).count()) + 1;
    return settings_.electionTimeoutMin + Duration(static_cast<Duration::rep>(random_.below(span)));
}

bool RaftCore::isOutdatedIncarnation(NodeId from, Incarnation incarnation) const
{
    if (settings_.faults.ignoreIncarnations)
        return false;
    const auto* member = log_.membership().find(from);
    return losses_.isOutdated(from, incarnation) || (member && member->incarnation > incarnation);
}

bool RaftCore::heardLeaderRecently(Instant now) const
{
    return now - lastLeaderContact_ < settings_.electionTimeoutMin && !settings_.faults.voteDespiteLeader;
}

bool RaftCore::isUpToDate(const RaftMessage& message) const
{
    if (message.indexTerm != log_.lastTerm())
        return message.indexTerm > log_.lastTerm();
    return message.index >= log_.lastIndex();
}

RaftMessage RaftCore::message(RaftMessageKind kind) const
{
    RaftMessage message;
    message.kind = kind;
    message.term = hardState_.term;
    message.incarnation = hardState_.incarnation;
    return message;
}

void RaftCore::send(NodeId to, Incarnation toIncarnation, RaftMessage message)
{
    if (!settings_.faults.ignoreIncarnations)
        message.toIncarnation = toIncarnation;
    ready_.messagesAfterStore.push_back({ to, std::move(message) });
}

void RaftCore::sendToVoters(const RaftMessage& message)
{
    std::set<NodeId> sentTo { settings_.self };
    auto sendTo = [&](const Membership& membership) {
        for (const auto& member : membership.members) {
            if (member.role == MemberRole::Voter && sentTo.insert(member.node).second)
                send(member.node, member.incarnation, message);
        }
    };
    sendTo(log_.membership());
    if (const auto* previous = previousMembers())
        sendTo(*previous);
}

void RaftCore::tick(Instant now)
{
    if (role_ == RaftRole::Leader) {
        tickLeader(now);
        return;
    }
    if (isLeaving_)
        requestRemoval(now);
    // A node that leaves would only be the leader for a moment, but its log may be the only one that a majority accepts.
    auto deadline = electionDeadline_ + (isLeaving_ ? settings_.electionTimeoutMax : Duration::zero());
    if (!isFormed())
        tickUnformed(now);
    else if (now >= deadline && isSelfVoter())
        startPreVote(now);
}

void RaftCore::receive(Instant now, NodeId from, RaftMessage message)
{
    if (from == settings_.self || !isWellFormed(message))
        return;
    if (!settings_.faults.ignoreDiskLosses)
        losses_.record(from, message.incarnation, now);
    // The message is for an earlier incarnation of this node, or comes from an earlier one of the sender.
    if (message.toIncarnation.isValid() && message.toIncarnation != hardState_.incarnation)
        return onMessageForAnotherIncarnation(from);
    if (isOutdatedIncarnation(from, message.incarnation) && message.kind != RaftMessageKind::Probe)
        return;
    switch (message.kind) {
    case RaftMessageKind::PreVote:
        return onPreVote(now, from, message);
    case RaftMessageKind::PreVoteReply:
    case RaftMessageKind::VoteReply:
        return onVoteReply(now, from, message);
    case RaftMessageKind::Vote:
        return onVote(now, from, message);
    case RaftMessageKind::Append:
        return onAppend(now, from, message);
    case RaftMessageKind::AppendReply:
        return onAppendReply(now, from, message);
    case RaftMessageKind::SnapshotChunk:
        return onSnapshotChunk(now, from, message);
    case RaftMessageKind::SnapshotReply:
        return onSnapshotReply(now, from, message);
    case RaftMessageKind::Probe:
        return onProbe(now, from, message);
    case RaftMessageKind::ProbeReply:
        return onProbeReply(from, message);
    case RaftMessageKind::Leave:
        return onLeave(now, from, message);
    case RaftMessageKind::LeaveReply:
        isLeaveConfirmed_ = isLeaveConfirmed_ || message.accepted;
        return;
    }
}

void RaftCore::onMessageForAnotherIncarnation(NodeId from)
{
    // The sender counts the lost disk of this node. The voters in the settings may all have lost theirs, so that a probe of the
    // sender is the only way for the group to know.
    if (!isFormed() && knownMembers_.insert(from).second)
        nextProbe_ = {};
}

RaftReady RaftCore::takeReady()
{
    RaftReady ready = std::move(ready_);
    ready_ = {};
    if (stored_ < log_.lastIndex()) {
        ready.appendFrom = stored_ + 1;
        stored_ = log_.lastIndex();
    }
    // A leader's entries may reach its peers before its own disk, but its term must be durable first.
    if (!ready.hardStateChanged) {
        auto isEarly = [](const OutgoingMessage& out) { return out.message.kind == RaftMessageKind::Append; };
        for (auto& out : ready.messagesAfterStore) {
            if (isEarly(out))
                ready.messagesBeforeStore.push_back(std::move(out));
        }
        std::erase_if(ready.messagesAfterStore, isEarly);
    }
    return ready;
}

void RaftCore::persisted(Instant now)
{
    synced_ = stored_;
    if (role_ == RaftRole::Leader)
        advanceCommit(now);
}

void RaftCore::becomeFollower(Instant now, uint64_t term, std::optional<NodeId> leader)
{
    assert(term >= hardState_.term);
    if (term > hardState_.term) {
        hardState_.term = term;
        hardState_.votedFor = {};
        ready_.hardStateChanged = true;
    }
    if (role_ == RaftRole::Leader)
        peers_.clear();
    role_ = RaftRole::Follower;
    leader_ = leader;
    votes_.clear();
    electionDeadline_ = now + randomTimeout();
}

bool RaftCore::areVotersCommitted() const
{
    // A change is proposed only after the one before is committed.
    const auto* previous = log_.previousMembership();
    return isMembershipCommitted() || (previous && previous->changedVoters(log_.membership()) == 0);
}

RaftCore::VoteQuorum RaftCore::voteQuorum(const Membership& membership, bool isCommitted) const
{
    // Half of an even group includes one of each majority, so it knows all that is committed. Two halves cannot both win: each
    // would need, before its election, the loss of a voter that later votes for the other. Voters that are not committed may be
    // unknown to a majority of those before.
    bool hasLoss = losses_.knownSince(membership) || settings_.faults.electByHalf;
    return { membership, isCommitted && hasLoss ? DiskLosses::quorumAfterLoss(membership) : membership.majority() };
}

void RaftCore::beginVoting()
{
    votes_ = { settings_.self };
    // Losses that become known during the election are not considered, as votes may have been cast before them.
    voteQuorums_ = { voteQuorum(log_.membership(), areVotersCommitted()) };
    if (const auto* previous = previousMembers())
        voteQuorums_.push_back(voteQuorum(*previous, true));
}

bool RaftCore::countsVoteOf(NodeId node, Incarnation incarnation) const
{
    const auto* previous = previousMembers();
    return log_.membership().isVoter(node, incarnation) || (previous && previous->isVoter(node, incarnation));
}

bool RaftCore::hasVotesOfQuorums() const
{
    return std::all_of(voteQuorums_.begin(), voteQuorums_.end(), [&](const VoteQuorum& quorum) {
        const auto& members = quorum.membership.members;
        auto votes = std::count_if(members.begin(), members.end(), [&](const Member& member) { return member.role == MemberRole::Voter && votes_.contains(member.node); });
        return static_cast<size_t>(votes) >= quorum.votesNeeded;
    });
}

const Membership* RaftCore::previousMembers() const
{
    return isMembershipCommitted() || settings_.faults.commitWithoutPreviousMembers ? nullptr : log_.previousMembership();
}

void RaftCore::startPreVote(Instant now)
{
    role_ = RaftRole::PreCandidate;
    leader_.reset();
    beginVoting();
    // Voters that restarted slightly later refuse until electionTimeoutMin has passed since their restart. A pre-vote
    // raises no term, so it is repeated soon: a whole timeout would double the time without a leader after all have
    // restarted.
    electionDeadline_ = now + randomTimeout() / preVotesPerTimeout;
    if (hasVotesOfQuorums())
        return startElection(now);
    RaftMessage request = message(RaftMessageKind::PreVote);
    request.term = hardState_.term + 1;
    request.index = log_.lastIndex();
    request.indexTerm = log_.lastTerm();
    sendToVoters(request);
}

void RaftCore::startElection(Instant now)
{
    role_ = RaftRole::Candidate;
    ++hardState_.term;
    hardState_.votedFor = settings_.self;
    ready_.hardStateChanged = true;
    beginVoting();
    electionDeadline_ = now + randomTimeout();
    if (hasVotesOfQuorums())
        return becomeLeader(now);
    RaftMessage request = message(RaftMessageKind::Vote);
    request.index = log_.lastIndex();
    request.indexTerm = log_.lastTerm();
    sendToVoters(request);
}

void RaftCore::onPreVote(Instant now, NodeId from, const RaftMessage& request)
{
    RaftMessage reply = message(RaftMessageKind::PreVoteReply);
    reply.accepted = role_ != RaftRole::Leader && !heardLeaderRecently(now) && request.term > hardState_.term && isUpToDate(request);
    if (reply.accepted)
        reply.term = request.term;
    tellCommit(reply);
    send(from, request.incarnation, std::move(reply));
    // A node that was removed while it was down still considers itself a voter.
    if (role_ == RaftRole::Leader && settings_.targetVoters > 0 && !log_.membership().find(from))
        proposeJoin(now, from, request.incarnation);
}

void RaftCore::onVote(Instant now, NodeId from, const RaftMessage& request)
{
    // The leader that was heard recently may hold a lease that depends on this voter.
    bool hasLeader = role_ == RaftRole::Leader || heardLeaderRecently(now);
    if (hasLeader && !settings_.faults.voteDespiteLeader)
        return;
    if (request.term > hardState_.term)
        becomeFollower(now, request.term, std::nullopt);
    RaftMessage reply = message(RaftMessageKind::VoteReply);
    bool mayVoteForSender = !hardState_.votedFor.isValid() || hardState_.votedFor == from;
    reply.accepted = request.term == hardState_.term && mayVoteForSender && isUpToDate(request);
    if (reply.accepted) {
        hardState_.votedFor = from;
        ready_.hardStateChanged = true;
        electionDeadline_ = now + randomTimeout();
    }
    send(from, request.incarnation, std::move(reply));
}

void RaftCore::tellCommit(RaftMessage& reply) const
{
    reply.commit = commit_;
    reply.indexTerm = log_.termAt(commit_).value_or(0);
}

void RaftCore::learnCommit(const RaftMessage& reply)
{
    // An entry of the same index and term is the same, and so are all before it.
    if (role_ != RaftRole::Leader && reply.commit > commit_ && log_.termAt(reply.commit) == reply.indexTerm)
        commit_ = reply.commit;
}

void RaftCore::onVoteReply(Instant now, NodeId from, const RaftMessage& reply)
{
    // A candidate that does not know that the last change of the members is committed needs votes of those before it, too.
    if (reply.kind == RaftMessageKind::PreVoteReply)
        learnCommit(reply);
    if (!reply.accepted) {
        if (reply.term > hardState_.term)
            becomeFollower(now, reply.term, std::nullopt);
        return;
    }
    if (!countsVoteOf(from, reply.incarnation) && !settings_.faults.ignoreIncarnations)
        return;
    bool isPreVote = reply.kind == RaftMessageKind::PreVoteReply;
    if (isPreVote ? role_ != RaftRole::PreCandidate || reply.term != hardState_.term + 1
                  : role_ != RaftRole::Candidate || reply.term != hardState_.term)
        return;
    votes_.insert(from);
    if (!hasVotesOfQuorums())
        return;
    if (isPreVote)
        startElection(now);
    else
        becomeLeader(now);
}

void RaftCore::becomeLeader(Instant now)
{
    role_ = RaftRole::Leader;
    leader_ = settings_.self;
    peers_.clear();
    updatePeers(log_.lastIndex() + 1, now, Instant());
    termStart_ = log_.lastIndex() + 1;
    appendAsLeader(now, EntryKind::Noop, {});
}

void RaftCore::tickUnformed(Instant now)
{
    bool isListedVoter = std::find(settings_.voters.begin(), settings_.voters.end(), settings_.self) != settings_.voters.end();
    Membership membership = settingsMembership();
    bool mayBootstrapNow = isListedVoter && settings_.mayBootstrap;
    for (auto& member : membership.members) {
        auto it = unformedPeers_.find(member.node);
        if (member.node == settings_.self)
            member.incarnation = hardState_.incarnation;
        else if (it != unformedPeers_.end())
            member.incarnation = it->second;
        else
            mayBootstrapNow = false;
    }
    if (mayBootstrapNow) {
        hardState_.initial = membership;
        ready_.hardStateChanged = true;
        log_.setInitial(std::move(membership));
        electionDeadline_ = now + randomTimeout();
        if (log_.membership().members.size() == 1)
            startPreVote(now);
        return;
    }
    if (now < nextProbe_)
        return;
    nextProbe_ = now + 2 * settings_.heartbeatInterval;
    RaftMessage probe = message(RaftMessageKind::Probe);
    probe.membership = settingsMembership();
    std::set<NodeId> recipients(settings_.voters.begin(), settings_.voters.end());
    recipients.insert(knownMembers_.begin(), knownMembers_.end());
    recipients.erase(settings_.self);
    for (NodeId node : recipients)
        send(node, Incarnation(), probe);
}

Membership RaftCore::settingsMembership() const
{
    Membership membership;
    for (NodeId voter : settings_.voters)
        membership = membership.with({ voter, Incarnation(), MemberRole::Voter });
    return membership;
}

void RaftCore::recordUnformedPeer(NodeId from, const RaftMessage& message)
{
    // Voters with different voter lists must not bootstrap two groups.
    if (!isFormed() && settings_.mayBootstrap && message.membership == settingsMembership())
        unformedPeers_[from] = message.incarnation;
}

void RaftCore::onProbe(Instant now, NodeId from, const RaftMessage& probe)
{
    recordUnformedPeer(from, probe);
    RaftMessage reply = message(RaftMessageKind::ProbeReply);
    reply.accepted = isFormed();
    reply.membership = isFormed() ? log_.membership() : settingsMembership();
    reply.membershipIndex = log_.membershipIndex();
    send(from, probe.incarnation, std::move(reply));
    if (role_ == RaftRole::Leader)
        proposeJoin(now, from, probe.incarnation);
}

void RaftCore::onProbeReply(NodeId from, const RaftMessage& reply)
{
    if (isFormed())
        return;
    if (!reply.accepted)
        return recordUnformedPeer(from, reply);
    // The other nodes have bootstrapped the group, so this node must not bootstrap another one.
    unformedPeers_.erase(from);
    // The leader may be none of the voters in the settings.
    for (const auto& member : reply.membership.members)
        knownMembers_.insert(member.node);
    const auto* self = reply.membership.find(settings_.self);
    if (!self)
        return;
    if (self->incarnation > hardState_.incarnation) {
        // The clock that numbered this incarnation was behind; nothing depends on the number yet.
        hardState_.incarnation = Incarnation(self->incarnation.value() + 1);
        ready_.hardStateChanged = true;
    } else if (self->incarnation == hardState_.incarnation && reply.membershipIndex == 0) {
        hardState_.initial = reply.membership;
        ready_.hardStateChanged = true;
        log_.setInitial(reply.membership);
    }
}

void RaftCore::proposeJoin(Instant now, NodeId from, Incarnation incarnation)
{
    const auto* member = log_.membership().find(from);
    if (!mayChangeMembership())
        return;
    if (!member) {
        // A group that maintains its number of voters has room for one replacement of each voter.
        if (log_.membership().members.size() < 2 * settings_.targetVoters)
            (void)proposeMembership(now, log_.membership().with({ from, incarnation, MemberRole::Joining }));
        return;
    }
    if (member->incarnation >= incarnation)
        return;
    // The earlier incarnation was lost with its disk; this one starts without a vote.
    auto role = member->role == MemberRole::Learner ? MemberRole::Learner : MemberRole::Joining;
    (void)proposeMembership(now, log_.membership().with({ from, incarnation, role }));
}

bool RaftCore::hasLeaderLease(Instant now) const
{
    if (!isReadyLeader())
        return false;
    auto since = repliedSendOfQuorums(now);
    auto leaseDuration = std::chrono::duration_cast<Duration>(settings_.electionTimeoutMin / clockDriftBound);
    return isSelfVoter() && now - since < leaseDuration;
}

}
