#include "briarhitch/consensus/RaftNode.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/core/Random.h"
#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "consensus/PosixFileSystem.h"
#include "consensus/RaftReplica.h"
#include "wire/Codec.h"

#include <algorithm>
#include <map>

namespace briarhitch {

namespace {

    // An append has a batch (256 KiB) and at most one more command; all that are in flight must fit into a link's send
    // queue.
    constexpr size_t maxCommandBytes = 1024 * 1024;
    constexpr int ticksPerHeartbeat = 5;

    const Log& raftLog()
    {
        static const Log log("raft:");
        return log;
    }

    void endProcess(const Error& error)
    {
        raftLog().error("cannot make the log durable; the process exits: " + error.message);
        exitProcess(1);
    }

    Result<void> checkSettings(const RaftNodeSettings& settings)
    {
        if (!settings.self.isValid() || settings.voters.empty() || settings.dataFolder.empty())
            return fail(ErrorKind::InvalidSettings, "a voter needs an id, a list of voters and a data folder");
        if (settings.heartbeatInterval <= Duration::zero() || settings.electionTimeoutMin < 3 * settings.heartbeatInterval
            || settings.electionTimeoutMax <= settings.electionTimeoutMin)
            return fail(ErrorKind::InvalidSettings, "the minimum election timeout must be at least three heartbeat intervals and below the maximum");
        if (settings.snapshotEveryEntries == 0)
            return fail(ErrorKind::InvalidSettings, "snapshotEveryEntries must be at least 1");
        return {};
    }

}

struct RaftNode::Impl : std::enable_shared_from_this<RaftNode::Impl> {
    struct Waiter {
        Waiter(Loop& loop, uint64_t term)
            : done(loop)
            , term(term)
        {
        }
        FiberEvent done;
        uint64_t term;
        Result<std::string> result { fail(ErrorKind::NoQuorum, "no majority of voters confirmed the change in time") };
    };

    Impl(Loop& loop, RaftNodeSettings settings)
        : loop(loop)
        , settings(std::move(settings))
    {
    }

    RaftReplicaSettings replicaSettings() const;
    RaftReplicaHooks replicaHooks(ReplicatedLogHooks hooks);
    void scheduleTick();
    void scheduleProcess();
    void process();
    void onApplied(const LogEntry& entry, std::string result);
    void onInstalled(uint64_t index);
    void finish(uint64_t index, Result<std::string> result);
    Result<void> changeMembership(const std::function<Membership(const Membership&)>& change);

    Loop& loop;
    RaftNodeSettings settings;
    PosixFileSystem files;
    std::unique_ptr<RaftReplica> replica;
    /** Proposals that fibers wait for, by index. */
    std::map<uint64_t, std::shared_ptr<Waiter>> waiters;
    bool processScheduled { false };
    /** The node is destroyed and its hooks must not be called; waiting fibers may still hold this object. */
    bool closed { false };
};

RaftReplicaSettings RaftNode::Impl::replicaSettings() const
{
    RaftReplicaSettings result;
    result.core.self = settings.self;
    result.core.voters = settings.voters;
    result.core.targetVoters = settings.targetVoters;
    result.core.mayBootstrap = settings.mayBootstrap;
    result.core.electionTimeoutMin = settings.electionTimeoutMin;
    result.core.electionTimeoutMax = settings.electionTimeoutMax;
    result.core.heartbeatInterval = settings.heartbeatInterval;
    result.core.seed = settings.seed != 0 ? settings.seed : systemSeed();
    result.store.folder = settings.dataFolder;
    result.store.onFatal = settings.onFatal ? settings.onFatal : endProcess;
    result.compaction.snapshotEveryEntries = settings.snapshotEveryEntries;
    // The clock may be behind the one that numbered the previous disk; the core raises the number when it learns of
    // that.
    result.newIncarnation = Incarnation(static_cast<uint64_t>(std::max<int64_t>(wallClockMs(), 1)));
    return result;
}

RaftReplicaHooks RaftNode::Impl::replicaHooks(ReplicatedLogHooks hooks)
{
    RaftReplicaHooks result;
    auto onRoleChange = std::move(hooks.onRoleChange);
    result.state = std::move(hooks);
    result.state.onRoleChange = [onRoleChange](bool isLeader, uint64_t term) {
        raftLog().info((isLeader ? "leader in term " : "no longer leader, term ") + std::to_string(term));
        if (onRoleChange)
            onRoleChange(isLeader, term);
    };
    result.send = [this](NodeId to, const RaftMessage& message) {
        if (settings.sendMessage)
            settings.sendMessage(to, encode(message));
    };
    result.onApplied = [this](const LogEntry& entry, std::string applied) { onApplied(entry, std::move(applied)); };
    result.onInstalled = [this](uint64_t index) { onInstalled(index); };
    result.onSnapshotTaken = [this](const Snapshot& snapshot) {
        raftLog().info("snapshot of " + std::to_string(snapshot.data.size()) + " bytes after entry " + std::to_string(snapshot.index) + "; the log keeps "
            + std::to_string(replica->store().logBytes()) + " bytes");
    };
    return result;
}

void RaftNode::Impl::scheduleTick()
{
    loop.after(settings.heartbeatInterval / ticksPerHeartbeat, [weak = weak_from_this()] {
        auto self = weak.lock();
        if (!self || self->closed)
            return;
        self->replica->tick(self->settings.clock());
        self->process();
        self->scheduleTick();
    });
}

void RaftNode::Impl::scheduleProcess()
{
    if (processScheduled)
        return;
    processScheduled = true;
    // All messages and proposals that arrive before the loop runs this timer share one sync.
    loop.after(Duration::zero(), [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->process();
    });
}

void RaftNode::Impl::process()
{
    processScheduled = false;
    if (closed)
        return;
    replica->process(settings.clock());
}

void RaftNode::Impl::finish(uint64_t index, Result<std::string> result)
{
    auto it = waiters.find(index);
    if (it == waiters.end())
        return;
    auto waiter = it->second;
    waiters.erase(it);
    waiter->result = std::move(result);
    waiter->done.set();
}

void RaftNode::Impl::onApplied(const LogEntry& entry, std::string result)
{
    // Entries of an earlier term that are not before this one can no longer be committed.
    std::vector<uint64_t> overwritten;
    for (const auto& [index, waiter] : waiters) {
        if (waiter->term < entry.term && index >= entry.index)
            overwritten.push_back(index);
    }
    for (uint64_t index : overwritten)
        finish(index, fail(ErrorKind::NotLeader, "another leader was elected before the change was confirmed"));
    finish(entry.index, std::move(result));
}

void RaftNode::Impl::onInstalled(uint64_t index)
{
    while (!waiters.empty() && waiters.begin()->first <= index)
        finish(waiters.begin()->first, fail(ErrorKind::NoQuorum, "this voter received a snapshot in place of the result of the change"));
}

Result<void> RaftNode::Impl::changeMembership(const std::function<Membership(const Membership&)>& change)
{
    auto proposed = replica->proposeMembership(settings.clock(), change(replica->core().log().membership()));
    if (!proposed)
        return tl::unexpected(proposed.error());
    scheduleProcess();
    return {};
}

RaftNode::RaftNode(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

RaftNode::~RaftNode()
{
    impl_->closed = true;
    while (!impl_->waiters.empty())
        impl_->finish(impl_->waiters.begin()->first, fail(ErrorKind::NoQuorum, "the voter is stopping"));
}

Result<std::unique_ptr<RaftNode>> RaftNode::open(Loop& loop, RaftNodeSettings settings, ReplicatedLogHooks hooks)
{
    if (auto checked = checkSettings(settings); !checked)
        return tl::unexpected(checked.error());
    auto impl = std::make_shared<Impl>(loop, std::move(settings));
    auto replica = RaftReplica::open(impl->files, impl->replicaSettings(), impl->replicaHooks(std::move(hooks)), impl->settings.clock());
    if (!replica)
        return tl::unexpected(replica.error());
    impl->replica = std::move(*replica);
    impl->replica->tick(impl->settings.clock());
    impl->scheduleProcess();
    impl->scheduleTick();
    return std::unique_ptr<RaftNode>(new RaftNode(std::move(impl)));
}

Result<void> RaftNode::rebuildAsSoleVoter(const std::string& dataFolder, NodeId self)
{
    PosixFileSystem files;
    StoredState found;
    LogStoreSettings settings;
    settings.folder = dataFolder;
    auto store = LogStore::open(files, settings, found);
    if (!store)
        return tl::unexpected(store.error());
    HardState state = found.hardState;
    if (!state.incarnation.isValid())
        return fail(ErrorKind::NotFound, "folder " + dataFolder + " has no log");
    auto log = RaftLog::make(state.initial, found.snapshot, std::move(found.entries));
    if (!log)
        return tl::unexpected(log.error());
    // A new term, so that the entry cannot be mistaken for one of the former leader.
    ++state.term;
    state.votedFor = {};
    auto sole = Membership().with({ self, state.incarnation, MemberRole::Voter });
    LogEntry change { log->lastIndex() + 1, state.term, EntryKind::Membership, encode(sole) };
    // The voters before the change are not to be asked.
    LogEntry confirmation { change.index + 1, state.term, EntryKind::Noop, std::string(membershipConfirmation) };
    return (*store)
        ->saveHardState(state)
        .and_then([&] { return (*store)->append(change); })
        .and_then([&] { return (*store)->append(confirmation); })
        .and_then([&] { return (*store)->sync(); });
}

void RaftNode::receive(NodeId from, std::string_view bytes)
{
    auto message = decode<RaftMessage>(bytes);
    if (!message)
        return;
    impl_->replica->receive(impl_->settings.clock(), from, std::move(*message));
    impl_->scheduleProcess();
}

Result<std::string> RaftNode::propose(std::string command, Duration timeout)
{
    if (command.size() > maxCommandBytes)
        return fail(ErrorKind::BodyTooLarge, "a change in the log is limited to 1 MiB");
    // The node may be destroyed while this fiber waits.
    auto impl = impl_;
    auto index = impl->replica->propose(impl->settings.clock(), std::move(command));
    if (!index)
        return fail(ErrorKind::NotLeader, "this voter is not the leader");
    auto waiter = std::make_shared<Impl::Waiter>(impl->loop, impl->replica->core().term());
    // An earlier proposal at this index was overwritten by another leader.
    impl->finish(*index, fail(ErrorKind::NotLeader, "another leader was elected before the change was confirmed"));
    impl->waiters.emplace(*index, waiter);
    impl->scheduleProcess();
    waiter->done.waitFor(timeout);
    auto it = impl->waiters.find(*index);
    if (it != impl->waiters.end() && it->second == waiter)
        impl->waiters.erase(it);
    return std::move(waiter->result);
}

bool RaftNode::hasLeaderLease() const
{
    return impl_->replica->core().hasLeaderLease(impl_->settings.clock());
}

uint64_t RaftNode::term() const
{
    return impl_->replica->core().term();
}

std::optional<NodeId> RaftNode::leader() const
{
    return impl_->replica->core().leader();
}

Result<void> RaftNode::addVoter(NodeId node)
{
    return impl_->changeMembership([node](const Membership& membership) {
        return membership.find(node) ? membership : membership.with({ node, Incarnation(), MemberRole::Joining });
    });
}

Result<void> RaftNode::removeVoter(NodeId node)
{
    return impl_->changeMembership([node](const Membership& membership) { return membership.without(node); });
}

bool RaftNode::leave(Duration timeout)
{
    // The node may be destroyed while this fiber waits.
    auto impl = impl_;
    impl->replica->leave();
    auto end = impl->settings.clock() + timeout;
    while (!impl->closed && !impl->replica->core().hasLeft() && impl->settings.clock() < end)
        sleepFor(impl->loop, impl->settings.heartbeatInterval / ticksPerHeartbeat);
    return impl->replica->core().hasLeft();
}

RaftStatus RaftNode::status() const
{
    const auto& core = impl_->replica->core();
    RaftStatus status;
    status.term = core.term();
    status.commitIndex = core.commitIndex();
    status.appliedIndex = impl_->replica->appliedIndex();
    status.lastIndex = core.log().lastIndex();
    status.lastTerm = core.log().lastTerm();
    status.syncCount = impl_->replica->store().syncCount();
    status.logBytes = impl_->replica->store().logBytes();
    status.incarnation = core.hardState().incarnation;
    for (const auto& member : core.log().membership().members)
        (member.role == MemberRole::Voter ? status.voters : status.learners).push_back(member.node);
    return status;
}

}
