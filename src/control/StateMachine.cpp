#include "briarhitch/control/StateMachine.h"

#include "briarhitch/core/Digest.h"
#include "control/ConfigSizes.h"
#include "control/SoftwareVersions.h"
#include "control/SuspectChanges.h"
#include "rollout/RolloutChanges.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <set>

namespace briarhitch {

namespace {

    CommandResult rejected(ErrorKind kind, std::string message, Version objectVersion = {})
    {
        return { false, kind, std::move(message), objectVersion, {} };
    }

    CommandResult conflict(const std::string& what, Version current, Version expected)
    {
        return rejected(ErrorKind::VersionConflict,
            what + " has version " + std::to_string(current.value()) + ", the change expects " + std::to_string(expected.value()), current);
    }

    Version next(Version version)
    {
        return Version(version.value() + 1);
    }

    CustomerState stepAfter(CustomerState state)
    {
        assert(state != CustomerState::Erased);
        return static_cast<CustomerState>(static_cast<uint8_t>(state) + 1);
    }

    /** Digest of a change without its expected version, which may be newer when the change is sent again. */
    template <class T>
    uint64_t changeDigest(CommandKind kind, T command)
    {
        command.change = {};
        return stableHash(encode(command), static_cast<uint64_t>(kind));
    }

    std::string poolNameOf(const Target& target, const std::string& scope)
    {
        const char* prefix = target.kind == TargetKind::Engine ? "model:" : "service:";
        return prefix + target.serves + "@" + scope;
    }

    template <class T, class Run>
    CommandResult withDecodedBody(const Command& command, Run&& run)
    {
        auto body = decode<T>(command.body);
        return body ? run(*body) : rejected(ErrorKind::BadRequest, "the command's body has the wrong shape");
    }

    template <class T>
    const T* findByName(const auto& objects, const std::string& name)
    {
        auto it = std::find_if(objects.begin(), objects.end(), [&](const auto& entry) { return entry.second.name == name; });
        return it == objects.end() ? nullptr : &it->second;
    }

}

std::string_view toString(CustomerState state)
{
    switch (state) {
    case CustomerState::Active:
        return "active";
    case CustomerState::NoNewWork:
        return "no_new_work";
    case CustomerState::Drained:
        return "drained";
    case CustomerState::Exported:
        return "exported";
    case CustomerState::Erased:
        return "erased";
    }
    return "unknown";
}

std::string_view toString(TargetState state)
{
    switch (state) {
    case TargetState::Active:
        return "active";
    case TargetState::Draining:
        return "draining";
    case TargetState::Retired:
        return "retired";
    }
    return "unknown";
}

StateMachine::StateMachine()
{
    ConfigDelta first;
    for (uint32_t i = 0; i < ceilingPoolCount; ++i) {
        PoolAssignment pool;
        pool.id = PoolId(nextPool_++);
        pool.name = "ceiling:" + std::to_string(i);
        pool.kind = PoolKind::Ceiling;
        first.pools.push_back(pool);
    }
    publish(std::move(first));
}

std::string StateMachine::apply(std::string_view bytes)
{
    auto command = decode<Command>(bytes);
    if (!command)
        return encode(rejected(ErrorKind::BadRequest, "the log entry is not a command"));
    if (command->kind == CommandKind::ClaimRun)
        return encode(applyClaim(*command));
    return encode(applyCommand(*command));
}

CommandResult StateMachine::applyCommand(const Command& command)
{
    switch (command.kind) {
    case CommandKind::PutCustomer:
        return withDecodedBody<PutCustomerCommand>(command, [&](const auto& body) {
            return applyChange(body.change, changeDigest(command.kind, body), [&] { return putCustomer(body); });
        });
    case CommandKind::WindDown:
        return withDecodedBody<WindDownCommand>(command, [&](const auto& body) {
            return applyChange(body.change, changeDigest(command.kind, body), [&] { return windDown(body); });
        });
    case CommandKind::PutTarget:
        return withDecodedBody<PutTargetCommand>(command, [&](const auto& body) {
            return applyChange(body.change, changeDigest(command.kind, body), [&] { return putTarget(body); });
        });
    case CommandKind::SetTargetState:
        return withDecodedBody<SetTargetStateCommand>(command, [&](const auto& body) {
            return applyChange(body.change, changeDigest(command.kind, body), [&] { return setTargetState(body); });
        });
    case CommandKind::RegisterNode:
        return withDecodedBody<RegisterNodeCommand>(command, [&](const auto& body) { return registerNode(body, command.timeMs); });
    case CommandKind::MarkNodeLost:
        return withDecodedBody<MarkNodeLostCommand>(command, [&](const auto& body) { return markNodeLost(body, command.timeMs); });
    case CommandKind::AssignPools:
        return withDecodedBody<AssignPoolsCommand>(command, [&](const auto& body) { return assignPools(body); });
    case CommandKind::FinishRun:
        return withDecodedBody<FinishRunCommand>(command, [&](const auto& body) { return finishRun(body, command.timeMs); });
    case CommandKind::RetireRuns:
        return withDecodedBody<RetireRunsCommand>(command, [&](const auto& body) {
            runs_.retire(body.endedBeforeMs, body.limit);
            return accepted({});
        });
    case CommandKind::PutRouting:
        return withDecodedBody<PutRoutingCommand>(command, [&](const auto& body) { return putRouting(body); });
    case CommandKind::ReplaceDiscovered:
        return withDecodedBody<ReplaceDiscoveredCommand>(command, [&](const auto& body) { return replaceDiscovered(body); });
    case CommandKind::RecordSuspects:
        return withDecodedBody<RecordSuspectsCommand>(command, [&](const auto& body) { return recordSuspects(body, command.timeMs); });
    case CommandKind::RetireSoftwareVersions:
        return withDecodedBody<RetireSoftwareVersionsCommand>(command, [&](const auto& body) {
            if (auto delta = retiredVersionsDelta(config_, body); !delta.pools.empty())
                publish(std::move(delta));
            return accepted({});
        });
    case CommandKind::StartRollout:
        return withDecodedBody<StartRolloutCommand>(command, [&](const auto& body) {
            return applyRollout(body.service, startRolloutDelta(config_, body, command.timeMs));
        });
    case CommandKind::AdvanceRollout:
        return withDecodedBody<AdvanceRolloutCommand>(command, [&](const auto& body) {
            return applyRollout(body.expected.service, advanceRolloutDelta(config_, body));
        });
    case CommandKind::RecordStreams:
        return withDecodedBody<RecordStreamsCommand>(command, [&](const auto& body) {
            streams_.record(body.groups, std::chrono::milliseconds(body.elapsedMs));
            return accepted({});
        });
    case CommandKind::ClaimRun:
        break;
    }
    return rejected(ErrorKind::BadRequest, "the log entry is of an unknown kind");
}

CommandResult StateMachine::applyChange(const ChangeHeader& change, uint64_t digest, const std::function<CommandResult()>& decide)
{
    if (change.changeId.empty() || change.changeId.size() > maxChangeIdBytes)
        return rejected(ErrorKind::BadRequest, "a change id has 1 to 64 bytes");
    if (const auto* earlier = changes_.find(change.changeId)) {
        if (earlier->digest != digest)
            return rejected(ErrorKind::BadRequest, "this change id was used for another change");
        return earlier->result;
    }
    auto result = decide();
    // A change that failed for a temporary reason may be sent again with the same id.
    if (result.accepted || result.kind != ErrorKind::Unavailable)
        changes_.add({ change.changeId, digest, result });
    return result;
}

CommandResult StateMachine::putCustomer(const PutCustomerCommand& command)
{
    Contract contract = command.contract;
    const auto* current = findCustomer(contract.name);
    if (current && current->state == CustomerState::Erased)
        return rejected(ErrorKind::CustomerClosing, "customer " + contract.name + " is erased; a new customer needs another name", current->version);
    Version currentVersion = current ? current->version : Version();
    if (currentVersion != command.change.expectedVersion)
        return conflict("customer " + contract.name, currentVersion, command.change.expectedVersion);
    if (configBytes_ + encodedSize(contract) > maxConfigBytes)
        return rejected(ErrorKind::BadRequest, "the configuration would be larger than 6 MiB", currentVersion);
    if (isKeyTaken(contract, current ? current->customer : CustomerId()))
        return rejected(ErrorKind::BadRequest, "a key of this contract belongs to another customer");
    contract.customer = current ? current->customer : CustomerId(nextCustomer_++);
    contract.state = current ? current->state : CustomerState::Active;
    contract.version = next(currentVersion);
    ConfigDelta delta;
    delta.customers.push_back(contract);
    publish(std::move(delta));
    return accepted(contract.version);
}

CommandResult StateMachine::windDown(const WindDownCommand& command)
{
    const auto* current = findCustomer(command.customer);
    if (!current)
        return rejected(ErrorKind::NotFound, "there is no customer " + command.customer);
    if (command.step <= current->state)
        return accepted(current->version);
    if (current->version != command.change.expectedVersion)
        return conflict("customer " + command.customer, current->version, command.change.expectedVersion);
    auto step = stepAfter(current->state);
    if (command.step != step)
        return rejected(ErrorKind::BadRequest, "the next step of customer " + command.customer + " is " + std::string(toString(step)), current->version);
    if (step == CustomerState::Drained && runs_.claimedCount(current->customer) > 0)
        return rejected(ErrorKind::Unavailable, "customer " + command.customer + " still has claimed runs", current->version);
    Contract contract = *current;
    contract.state = step;
    contract.version = next(current->version);
    if (step == CustomerState::Erased) {
        // The record stays as a tombstone, so that nodes see the state and the name is not reused.
        contract.keyHashes.clear();
        contract.idempotentCalls.clear();
        contract.models.clear();
        runs_.eraseCustomer(contract.customer);
    }
    ConfigDelta delta;
    delta.customers.push_back(contract);
    publish(std::move(delta));
    return accepted(contract.version);
}

CommandResult StateMachine::putTarget(const PutTargetCommand& command)
{
    Target target = command.target;
    const auto* current = findTarget(target.name);
    Version currentVersion = current ? current->version : Version();
    if (currentVersion != command.change.expectedVersion)
        return conflict("target " + target.name, currentVersion, command.change.expectedVersion);
    if (configBytes_ + encodedSize(target) > maxConfigBytes)
        return rejected(ErrorKind::BadRequest, "the configuration would be larger than 6 MiB", currentVersion);
    target.id = current ? current->id : TargetId(nextTarget_++);
    target.version = next(currentVersion);
    target.state = TargetState::Active;
    ConfigDelta delta;
    target.pool = findOrCreatePool(target, command.poolScope, delta);
    delta.targets.push_back(target);
    publish(std::move(delta));
    return accepted(target.version);
}

PoolId StateMachine::findOrCreatePool(const Target& target, const std::string& scope, ConfigDelta& delta)
{
    auto poolName = poolNameOf(target, scope);
    if (const auto* pool = findPool(poolName))
        return pool->id;
    auto added = std::find_if(delta.pools.begin(), delta.pools.end(), [&](const PoolAssignment& pool) { return pool.name == poolName; });
    if (added != delta.pools.end())
        return added->id;
    PoolAssignment created;
    created.id = PoolId(nextPool_++);
    created.name = poolName;
    created.kind = target.kind == TargetKind::Engine ? PoolKind::Model : PoolKind::Service;
    created.scope = scope;
    delta.pools.push_back(created);
    return created.id;
}

CommandResult StateMachine::replaceDiscovered(const ReplaceDiscoveredCommand& command)
{
    ConfigDelta delta;
    std::set<std::string> listed;
    for (auto target : command.targets) {
        if (target.name.empty() || !listed.insert(target.name).second)
            continue;
        const auto* current = findTarget(target.name);
        // Discovery must not change targets that an operator created.
        if (current && !current->isDiscovered)
            continue;
        target.isDiscovered = true;
        target.id = current ? current->id : TargetId(nextTarget_);
        target.version = current ? current->version : Version();
        target.pool = findOrCreatePool(target, command.poolScope, delta);
        if (current && target == *current)
            continue;
        target.version = next(target.version);
        if (!current)
            ++nextTarget_;
        delta.targets.push_back(std::move(target));
    }
    for (const auto& [id, target] : config_.targets) {
        if (target.isDiscovered && !listed.contains(target.name))
            delta.removedTargets.push_back(id);
    }
    if (configBytes_ + encodedSize(delta) > maxConfigBytes)
        return rejected(ErrorKind::BadRequest, "the configuration would be larger than 6 MiB");
    if (!delta.targets.empty() || !delta.removedTargets.empty())
        publish(std::move(delta));
    return accepted({});
}

CommandResult StateMachine::putRouting(const PutRoutingCommand& command)
{
    const auto& current = config_.routing;
    if (command.routing.version <= current.version)
        return accepted(current.version);
    if (configBytes_ + encodedSize(command.routing) > maxConfigBytes)
        return rejected(ErrorKind::BodyTooLarge, "the configuration would be larger than 6 MiB", current.version);
    ConfigDelta delta;
    delta.routing = patchBetween(current, inCanonicalOrder(command.routing));
    std::set<std::string> listed;
    for (const auto& customer : command.routing.customers) {
        listed.insert(customer.name);
        const auto* known = findCustomer(customer.name);
        Contract contract = known ? *known : Contract {};
        contract.name = customer.name;
        contract.keyHashes = customer.keyHashes;
        contract.ceiling = customer.ceiling;
        contract.tier = customer.tier.value_or(contract.tier);
        if (known && contract == *known)
            continue;
        contract.customer = known ? known->customer : CustomerId(nextCustomer_++);
        contract.version = next(contract.version);
        delta.customers.push_back(std::move(contract));
    }
    for (const auto& customer : current.customers) {
        const auto* known = findCustomer(customer.name);
        if (!known || listed.contains(customer.name) || known->keyHashes.empty())
            continue;
        Contract contract = *known;
        contract.keyHashes.clear();
        contract.version = next(contract.version);
        delta.customers.push_back(std::move(contract));
    }
    routingSource_ = command.source;
    publish(std::move(delta));
    return accepted(command.routing.version);
}

CommandResult StateMachine::recordSuspects(const RecordSuspectsCommand& command, int64_t timeMs)
{
    auto delta = suspectsDelta(config_, command.changes, timeMs);
    if (!delta.suspects.empty() || !delta.clearedSuspects.empty())
        publish(std::move(delta));
    return accepted({});
}

CommandResult StateMachine::applyRollout(const std::string& service, Result<ConfigDelta> delta)
{
    if (!delta)
        return rejected(delta.error().kind, delta.error().message);
    if (configBytes_ + encodedSize(*delta) > maxConfigBytes)
        return rejected(ErrorKind::BodyTooLarge, "the configuration would be larger than 6 MiB");
    if (!delta->rollouts.empty())
        publish(std::move(*delta));
    return accepted(Version(config_.rollouts.at(service).id.value()));
}

CommandResult StateMachine::setTargetState(const SetTargetStateCommand& command)
{
    const auto* current = findTarget(command.target);
    if (!current)
        return rejected(ErrorKind::NotFound, "there is no target " + command.target);
    if (current->state == command.state)
        return accepted(current->version);
    if (current->version != command.change.expectedVersion)
        return conflict("target " + command.target, current->version, command.change.expectedVersion);
    if (command.state < current->state)
        return rejected(ErrorKind::BadRequest, "target " + command.target + " is " + std::string(toString(current->state)), current->version);
    Target target = *current;
    target.state = command.state;
    target.version = next(current->version);
    ConfigDelta delta;
    delta.targets.push_back(target);
    publish(std::move(delta));
    return accepted(target.version);
}

CommandResult StateMachine::registerNode(const RegisterNodeCommand& command, int64_t timeMs)
{
    NodeRecord node = command.node;
    node.lost = false;
    auto it = config_.nodes.find(node.id);
    if (it == config_.nodes.end()) {
        if (!node.id.isValid() || config_.nodes.size() >= maxNodes)
            return rejected(ErrorKind::BadRequest, "the node has no id, or there are " + std::to_string(maxNodes) + " nodes already");
        return publishNode(node);
    }
    if (node.incarnation < it->second.incarnation)
        return rejected(ErrorKind::BadRequest, "a later incarnation of this node is registered");
    if (node.incarnation != it->second.incarnation)
        runs_.markUnknown(node.id, node.incarnation, timeMs);
    if (node == it->second)
        return accepted({});
    return publishNode(node);
}

CommandResult StateMachine::markNodeLost(const MarkNodeLostCommand& command, int64_t timeMs)
{
    auto it = config_.nodes.find(command.node);
    if (it == config_.nodes.end() || it->second.incarnation != command.incarnation || it->second.lost)
        return rejected(ErrorKind::NotFound, "this incarnation of the node is not registered");
    runs_.markUnknown(command.node, Incarnation(), timeMs);
    NodeRecord node = it->second;
    node.lost = true;
    return publishNode(node);
}

CommandResult StateMachine::publishNode(const NodeRecord& node)
{
    ConfigDelta delta;
    delta.nodes.push_back(node);
    publish(std::move(delta));
    nodeRecordVersions_[node.id] = config_.version;
    return accepted({});
}

bool StateMachine::isMoveAllowed(const PoolMove& move) const
{
    auto pool = config_.pools.find(move.pool);
    if (pool == config_.pools.end() || pool->second.epoch != move.expectedEpoch)
        return false;
    auto owner = config_.nodes.find(move.owner);
    if (owner == config_.nodes.end() || owner->second.lost || owner->second.incarnation != move.ownerIncarnation)
        return false;
    // The decision relied on the current owner's lease, which a registration since then may have renewed.
    return nodeRecordVersion(pool->second.owner) == move.ownerRecordVersion;
}

CommandResult StateMachine::assignPools(const AssignPoolsCommand& command)
{
    ConfigDelta delta;
    for (const auto& move : command.moves) {
        if (!isMoveAllowed(move))
            continue;
        PoolAssignment pool = config_.pools.at(move.pool);
        pool.epoch = Epoch(pool.epoch.value() + 1);
        pool.owner = move.owner;
        pool.ownerIncarnation = move.ownerIncarnation;
        pool.previousOwner = move.previousOwner;
        delta.pools.push_back(pool);
    }
    if (delta.pools.empty())
        return rejected(ErrorKind::VersionConflict, "no move fits the present assignments");
    publish(std::move(delta));
    return accepted({});
}

ClaimResult StateMachine::applyClaim(const Command& command)
{
    auto body = decode<ClaimRunCommand>(command.body);
    if (!body)
        return { false, ErrorKind::BadRequest, {} };
    const auto& claim = body->claim;
    if (claim.key.idempotencyKey.empty() || claim.key.idempotencyKey.size() > maxIdempotencyKeyBytes)
        return { false, ErrorKind::BadRequest, {} };
    auto customer = config_.customers.find(claim.key.customer);
    if (customer == config_.customers.end() || customer->second.state >= CustomerState::Drained)
        return { false, ErrorKind::CustomerClosing, {} };
    auto node = config_.nodes.find(claim.node);
    // A claim by an earlier incarnation would never be finished, because its claims have already been marked unknown.
    if (node == config_.nodes.end() || node->second.lost || node->second.incarnation != claim.nodeIncarnation)
        return { false, ErrorKind::NoLease, {} };
    ClaimResult result;
    result.decided = true;
    result.reply.outcome = runs_.claim(claim, body->maxRecords);
    if (result.reply.outcome == ClaimOutcome::Finished) {
        if (const auto* run = runs_.find(claim.key))
            result.reply.response = run->record.response;
    }
    return result;
}

CommandResult StateMachine::finishRun(const FinishRunCommand& command, int64_t timeMs)
{
    auto customer = config_.customers.find(command.finish.key.customer);
    if (customer != config_.customers.end() && customer->second.state != CustomerState::Erased)
        runs_.finish(command.finish, timeMs, command.maxResponseBytes);
    return accepted({});
}

bool StateMachine::isKeyTaken(const Contract& contract, CustomerId owner) const
{
    auto isShared = [&](const std::string& hash) {
        return std::any_of(config_.customers.begin(), config_.customers.end(), [&](const auto& entry) {
            const auto& hashes = entry.second.keyHashes;
            return entry.first != owner && std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
        });
    };
    return std::any_of(contract.keyHashes.begin(), contract.keyHashes.end(), isShared);
}

const Contract* StateMachine::findCustomer(const std::string& name) const { return findByName<Contract>(config_.customers, name); }
const Target* StateMachine::findTarget(const std::string& name) const { return findByName<Target>(config_.targets, name); }
const PoolAssignment* StateMachine::findPool(const std::string& name) const { return findByName<PoolAssignment>(config_.pools, name); }

CommandResult StateMachine::accepted(Version objectVersion) const
{
    return { true, ErrorKind::Internal, {}, objectVersion, config_.version };
}

void StateMachine::publish(ConfigDelta delta)
{
    addSoftwareVersions(config_, delta);
    delta.version = next(config_.version);
    size_t added = encodedSize(delta);
    configBytes_ += added;
    configBytes_ -= replacedSize(config_, delta);
    if (delta.routing) {
        added += encodedSize(*delta.routing);
        configBytes_ -= encodedRoutingSize(config_);
    }
    bool applied = applyDelta(config_, delta);
    assert(applied);
    (void)applied;
    if (delta.routing)
        configBytes_ += encodedRoutingSize(config_);
    deltas_.push_back({ std::move(delta), added });
    if (deltas_.size() > maxDeltas)
        deltas_.pop_front();
}

Version StateMachine::nodeRecordVersion(NodeId node) const
{
    auto it = nodeRecordVersions_.find(node);
    return it == nodeRecordVersions_.end() ? Version() : it->second;
}

std::optional<size_t> StateMachine::deltaBytesSince(Version applied) const
{
    // A node that just started has no configuration that deltas could be applied to.
    if (!applied.isValid() || (applied < config_.version && (deltas_.empty() || deltas_.front().delta.version > next(applied))))
        return std::nullopt;
    auto first = std::find_if(deltas_.begin(), deltas_.end(), [&](const StoredDelta& kept) { return kept.delta.version > applied; });
    return std::accumulate(first, deltas_.end(), size_t(0), [](size_t sum, const StoredDelta& kept) { return sum + kept.bytes; });
}

void StateMachine::addChangesSince(Version applied, HeartbeatReply& reply) const
{
    if (applied >= config_.version)
        return;
    auto bytes = deltaBytesSince(applied);
    if (!bytes || *bytes > configBytes_) {
        // When hundreds of nodes start at once, each registration is a change. They share one encoded snapshot and get the later deltas.
        constexpr size_t minSnapshotToDeltaRatio = 4;
        auto since = encoded_ ? deltaBytesSince(encoded_->version) : std::nullopt;
        if (!since || *since > configBytes_ / minSnapshotToDeltaRatio)
            encoded_ = EncodedSnapshot { config_.version, config_ };
        reply.snapshot = encoded_->config;
        applied = encoded_->version;
    }
    for (const auto& kept : deltas_) {
        if (kept.delta.version > applied)
            reply.deltas.push_back(kept.delta);
    }
}

}
