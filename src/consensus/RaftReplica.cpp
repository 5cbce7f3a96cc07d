#include "consensus/RaftReplica.h"

#include <cassert>

namespace briarhitch {

Result<std::unique_ptr<RaftReplica>> RaftReplica::open(FileSystem& files, RaftReplicaSettings settings, RaftReplicaHooks hooks, Instant now)
{
    StoredState found;
    auto store = LogStore::open(files, settings.store, found);
    if (!store)
        return tl::unexpected(store.error());
    if (!found.hardState.incarnation.isValid()) {
        assert(settings.newIncarnation.isValid());
        found.hardState.incarnation = settings.newIncarnation;
        // The incarnation must be durable before any message with it is sent.
        if (auto saved = (*store)->saveHardState(found.hardState); !saved)
            return tl::unexpected(saved.error());
    }
    auto log = RaftLog::make(found.hardState.initial, found.snapshot, std::move(found.entries));
    if (!log)
        return tl::unexpected(log.error());
    RaftCore core(settings.core, found.hardState, std::move(*log), now);
    std::unique_ptr<RaftReplica> replica(new RaftReplica(std::move(*store), std::move(settings), std::move(hooks), std::move(core)));
    if (found.snapshot) {
        replica->hooks_.state.loadSnapshot(found.snapshot->index, found.snapshot->data);
        replica->compaction_.recordSnapshot(found.snapshot->data.size());
        replica->applied_ = found.snapshot->index;
    }
    return replica;
}

RaftReplica::RaftReplica(std::unique_ptr<LogStore> store, RaftReplicaSettings settings, RaftReplicaHooks hooks, RaftCore core)
    : store_(std::move(store))
    , settings_(std::move(settings))
    , hooks_(std::move(hooks))
    , core_(std::move(core))
    , compaction_(settings_.compaction)
{
}

bool RaftReplica::process(Instant now)
{
    while (!failed_) {
        RaftReady ready = core_.takeReady();
        bool isIdle = ready.messagesBeforeStore.empty() && ready.messagesAfterStore.empty() && !ready.needsStore();
        send(ready.messagesBeforeStore);
        if (ready.needsStore()) {
            if (settings_.core.faults.acknowledgeUnsynced)
                send(std::exchange(ready.messagesAfterStore, {}));
            if (!persist(ready)) {
                failed_ = true;
                break;
            }
        }
        core_.persisted(now);
        send(ready.messagesAfterStore);
        if (ready.install)
            install(ready.install);
        bool applied = applyCommitted();
        reportRole();
        if (!takeSnapshotIfDue()) {
            failed_ = true;
            break;
        }
        if (isIdle && !applied)
            break;
    }
    return !failed_;
}

Result<void> RaftReplica::persist(const RaftReady& ready)
{
    if (ready.hardStateChanged) {
        HardState state = core_.hardState();
        if (settings_.core.faults.forgetVote)
            state.votedFor = {};
        if (auto saved = store_->saveHardState(state); !saved)
            return saved;
    }
    if (ready.install) {
        if (auto saved = store_->saveSnapshot(*ready.install, ready.dropLog); !saved)
            return saved;
    }
    if (ready.truncateFrom) {
        if (auto truncated = store_->truncateFrom(*ready.truncateFrom); !truncated)
            return truncated;
    }
    if (ready.appendFrom == 0)
        return {};
    for (uint64_t index = ready.appendFrom; index <= core_.log().lastIndex(); ++index) {
        if (auto appended = store_->append(core_.log().entry(index)); !appended)
            return appended;
    }
    return store_->sync();
}

void RaftReplica::install(const SnapshotPtr& snapshot)
{
    hooks_.state.loadSnapshot(snapshot->index, snapshot->data);
    applied_ = snapshot->index;
    core_.setApplied(applied_);
    compaction_.recordSnapshot(snapshot->data.size());
    if (hooks_.onInstalled)
        hooks_.onInstalled(applied_);
}

void RaftReplica::send(const std::vector<OutgoingMessage>& messages)
{
    for (const auto& out : messages)
        hooks_.send(out.to, out.message);
}

bool RaftReplica::applyCommitted()
{
    bool appliedAny = false;
    while (applied_ < core_.commitIndex()) {
        const LogEntry& entry = core_.log().entry(applied_ + 1);
        std::string result;
        if (entry.kind == EntryKind::Command)
            result = hooks_.state.apply(entry.index, entry.data);
        applied_ = entry.index;
        core_.setApplied(applied_);
        compaction_.recordApplied(entry.data.size());
        if (hooks_.onApplied)
            hooks_.onApplied(entry, std::move(result));
        appliedAny = true;
    }
    return appliedAny;
}

Result<void> RaftReplica::takeSnapshotIfDue()
{
    if (!compaction_.isSnapshotDue())
        return {};
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->index = applied_;
    snapshot->term = *core_.log().termAt(applied_);
    snapshot->membership = core_.log().membershipAt(applied_, snapshot->membershipIndex);
    snapshot->data = hooks_.state.takeSnapshot();
    if (auto saved = store_->saveSnapshot(*snapshot, false); !saved)
        return saved;
    compaction_.recordSnapshot(snapshot->data.size());
    core_.compact(snapshot, compaction_.keepAfter(core_.log(), applied_));
    if (auto dropped = store_->dropUpTo(core_.log().baseIndex()); !dropped)
        return dropped;
    if (hooks_.onSnapshotTaken)
        hooks_.onSnapshotTaken(*snapshot);
    return {};
}

void RaftReplica::reportRole()
{
    bool isLeader = core_.isReadyLeader();
    // A leader that lost its role and regained it in one step has a new term; the end of the old one is reported first.
    bool lostRole = reportedLeader_ && (!isLeader || core_.term() != reportedTerm_);
    if (lostRole && hooks_.state.onRoleChange)
        hooks_.state.onRoleChange(false, core_.term());
    bool gainedRole = isLeader && (lostRole || !reportedLeader_);
    reportedLeader_ = isLeader;
    reportedTerm_ = core_.term();
    if (gainedRole && hooks_.state.onRoleChange)
        hooks_.state.onRoleChange(true, core_.term());
}

}
