#include "briarhitch/control/StateMachine.h"

#include "briarhitch/core/Digest.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cassert>
#include <numeric>
#include <set>

namespace briarhitch {

namespace {

    constexpr uint32_t snapshotFieldCount = 8;
    /** First sizes of a snapshot's buffer. */
    constexpr size_t expectedRunBytes = 64;
    constexpr size_t minSnapshotBytes = 4096;

    /** The stored form, which takeSnapshot() writes; fields are only ever added at the end. */
    struct Snapshot {
        ClusterConfig config;
        std::map<NodeId, Version> nodeRecordVersion;
        std::vector<StoredChange> changes;
        RunStoreSnapshot runs;
        uint32_t nextCustomer { 0 };
        uint32_t nextTarget { 0 };
        uint32_t nextPool { 0 };
        std::string routingSource;

        template <class V>
        void fields(V& visit)
        {
            visit(config, nodeRecordVersion, changes, runs, nextCustomer, nextTarget, nextPool, routingSource);
        }
    };

    CommandResult refused(ErrorKind kind, std::string message, Version objectVersion = {})
    {
        return { false, kind, std::move(message), objectVersion, {} };
    }

    CommandResult conflict(const std::string& what, Version present, Version expected)
    {
        return refused(ErrorKind::VersionConflict,
            what + " has version " + std::to_string(present.value()) + ", the change expects " + std::to_string(expected.value()), present);
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

    /** A change that is sent again may carry the version that it led to, so the expected version does not count. */
    template <class T>
    uint64_t changeDigest(CommandKind kind, T command)
    {
        command.change = {};
        return stableHash(encode(command), static_cast<uint64_t>(kind));
    }

    template <class T>
    size_t bytesOf(const T& object)
    {
        return encode(object).size();
    }

    template <class Key, class T>
    size_t bytesAt(const std::map<Key, T>& objects, Key key)
    {
        auto it = objects.find(key);
        return it == objects.end() ? 0 : bytesOf(it->second);
    }

    /** Encoded size of the objects of a delta, without the routing document, which it only patches. */
    size_t bytesOf(const ConfigDelta& delta)
    {
        size_t bytes = 0;
        auto add = [&bytes](const auto& objects) {
            for (const auto& object : objects)
                bytes += bytesOf(object);
        };
        add(delta.customers);
        add(delta.targets);
        add(delta.nodes);
        add(delta.pools);
        return bytes;
    }

    size_t bytesOfDocument(const ClusterConfig& config)
    {
        return config.routing.version.isValid() ? bytesOf(config.routing) : 0;
    }

    /** Encoded size of the objects that a delta replaces. */
    size_t replacedBytes(const ClusterConfig& config, const ConfigDelta& delta)
    {
        size_t bytes = 0;
        for (const auto& contract : delta.customers)
            bytes += bytesAt(config.customers, contract.customer);
        for (const auto& target : delta.targets)
            bytes += bytesAt(config.targets, target.id);
        for (const auto& node : delta.nodes)
            bytes += bytesAt(config.nodes, node.id);
        for (const auto& pool : delta.pools)
            bytes += bytesAt(config.pools, pool.id);
        for (auto target : delta.removedTargets)
            bytes += bytesAt(config.targets, target);
        return bytes;
    }

    /** Encoded size of all objects; a voter that loads a snapshot must get the sum that the others counted. */
    size_t bytesOf(const ClusterConfig& config)
    {
        size_t bytes = 0;
        auto add = [&bytes](const auto& objects) {
            for (const auto& [id, object] : objects)
                bytes += bytesOf(object);
        };
        add(config.customers);
        add(config.targets);
        add(config.nodes);
        add(config.pools);
        return bytes + bytesOfDocument(config);
    }

    std::string poolNameOf(const Target& target, const std::string& scope)
    {
        const char* prefix = target.kind == TargetKind::Engine ? "model:" : "service:";
        return prefix + target.serves + "@" + scope;
    }

    template <class T, class Run>
    CommandResult withBody(const Command& command, Run&& run)
    {
        auto body = decode<T>(command.body);
        return body ? run(*body) : refused(ErrorKind::BadRequest, "the command's body has the wrong shape");
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
        return encode(refused(ErrorKind::BadRequest, "the log entry is not a command"));
    if (command->kind == CommandKind::ClaimRun)
        return encode(applyClaim(*command));
    return encode(applyCommand(*command));
}

CommandResult StateMachine::applyCommand(const Command& command)
{
    switch (command.kind) {
    case CommandKind::PutCustomer:
        return withBody<PutCustomerCommand>(command, [&](const auto& body) {
            return applyChange(body.change, changeDigest(command.kind, body), [&] { return putCustomer(body); });
        });
    case CommandKind::WindDown:
        return withBody<WindDownCommand>(command, [&](const auto& body) {
            return applyChange(body.change, changeDigest(command.kind, body), [&] { return windDown(body); });
        });
    case CommandKind::PutTarget:
        return withBody<PutTargetCommand>(command, [&](const auto& body) {
            return applyChange(body.change, changeDigest(command.kind, body), [&] { return putTarget(body); });
        });
    case CommandKind::SetTargetState:
        return withBody<SetTargetStateCommand>(command, [&](const auto& body) {
            return applyChange(body.change, changeDigest(command.kind, body), [&] { return setTargetState(body); });
        });
    case CommandKind::RegisterNode:
        return withBody<RegisterNodeCommand>(command, [&](const auto& body) { return registerNode(body, command.timeMs); });
    case CommandKind::MarkNodeLost:
        return withBody<MarkNodeLostCommand>(command, [&](const auto& body) { return markNodeLost(body, command.timeMs); });
    case CommandKind::AssignPools:
        return withBody<AssignPoolsCommand>(command, [&](const auto& body) { return assignPools(body); });
    case CommandKind::FinishRun:
        return withBody<FinishRunCommand>(command, [&](const auto& body) { return finishRun(body, command.timeMs); });
    case CommandKind::RetireRuns:
        return withBody<RetireRunsCommand>(command, [&](const auto& body) {
            runs_.retire(body.endedBeforeMs, body.limit);
            return accepted({});
        });
    case CommandKind::PutRouting:
        return withBody<PutRoutingCommand>(command, [&](const auto& body) { return putRouting(body); });
    case CommandKind::ReplaceDiscovered:
        return withBody<ReplaceDiscoveredCommand>(command, [&](const auto& body) { return replaceDiscovered(body); });
    case CommandKind::ClaimRun:
        break;
    }
    return refused(ErrorKind::BadRequest, "the log entry is of an unknown kind");
}

CommandResult StateMachine::applyChange(const ChangeHeader& change, uint64_t digest, const std::function<CommandResult()>& decide)
{
    if (change.changeId.empty() || change.changeId.size() > maxChangeIdBytes)
        return refused(ErrorKind::BadRequest, "a change id has 1 to 64 bytes");
    if (const auto* earlier = changes_.find(change.changeId)) {
        if (earlier->digest != digest)
            return refused(ErrorKind::BadRequest, "this change id was used for another change");
        return earlier->result;
    }
    auto result = decide();
    // What failed only for now may be sent again under the same id.
    if (result.accepted || result.kind != ErrorKind::Unavailable)
        changes_.add({ change.changeId, digest, result });
    return result;
}

CommandResult StateMachine::putCustomer(const PutCustomerCommand& command)
{
    Contract contract = command.contract;
    const auto* present = findCustomer(contract.name);
    if (present && present->state == CustomerState::Erased)
        return refused(ErrorKind::CustomerClosing, "customer " + contract.name + " is erased; a new customer needs another name", present->version);
    Version presentVersion = present ? present->version : Version();
    if (presentVersion != command.change.expectedVersion)
        return conflict("customer " + contract.name, presentVersion, command.change.expectedVersion);
    if (configBytes_ + bytesOf(contract) > maxConfigBytes)
        return refused(ErrorKind::BadRequest, "the configuration would be larger than 6 MiB", presentVersion);
    if (isKeyTaken(contract, present ? present->customer : CustomerId()))
        return refused(ErrorKind::BadRequest, "a key of this contract belongs to another customer");
    contract.customer = present ? present->customer : CustomerId(nextCustomer_++);
    contract.state = present ? present->state : CustomerState::Active;
    contract.version = next(presentVersion);
    ConfigDelta delta;
    delta.customers.push_back(contract);
    publish(std::move(delta));
    return accepted(contract.version);
}

CommandResult StateMachine::windDown(const WindDownCommand& command)
{
    const auto* present = findCustomer(command.customer);
    if (!present)
        return refused(ErrorKind::NotFound, "there is no customer " + command.customer);
    if (command.step <= present->state)
        return accepted(present->version);
    if (present->version != command.change.expectedVersion)
        return conflict("customer " + command.customer, present->version, command.change.expectedVersion);
    auto step = stepAfter(present->state);
    if (command.step != step)
        return refused(ErrorKind::BadRequest, "the next step of customer " + command.customer + " is " + std::string(toString(step)), present->version);
    if (step == CustomerState::Drained && runs_.claimedCount(present->customer) > 0)
        return refused(ErrorKind::Unavailable, "customer " + command.customer + " still has claimed runs", present->version);
    Contract contract = *present;
    contract.state = step;
    contract.version = next(present->version);
    if (step == CustomerState::Erased) {
        // The record stays as a tombstone, so that nodes learn of it and the name is not used for another customer.
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
    const auto* present = findTarget(target.name);
    Version presentVersion = present ? present->version : Version();
    if (presentVersion != command.change.expectedVersion)
        return conflict("target " + target.name, presentVersion, command.change.expectedVersion);
    if (configBytes_ + bytesOf(target) > maxConfigBytes)
        return refused(ErrorKind::BadRequest, "the configuration would be larger than 6 MiB", presentVersion);
    target.id = present ? present->id : TargetId(nextTarget_++);
    target.version = next(presentVersion);
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
        const auto* present = findTarget(target.name);
        // An operator's own target is not discovery's to change.
        if (present && !present->isDiscovered)
            continue;
        target.isDiscovered = true;
        target.id = present ? present->id : TargetId(nextTarget_);
        target.version = present ? present->version : Version();
        target.pool = findOrCreatePool(target, command.poolScope, delta);
        if (present && target == *present)
            continue;
        target.version = next(target.version);
        if (!present)
            ++nextTarget_;
        delta.targets.push_back(std::move(target));
    }
    for (const auto& [id, target] : config_.targets) {
        if (target.isDiscovered && !listed.contains(target.name))
            delta.removedTargets.push_back(id);
    }
    if (configBytes_ + bytesOf(delta) > maxConfigBytes)
        return refused(ErrorKind::BadRequest, "the configuration would be larger than 6 MiB");
    if (!delta.targets.empty() || !delta.removedTargets.empty())
        publish(std::move(delta));
    return accepted({});
}

CommandResult StateMachine::putRouting(const PutRoutingCommand& command)
{
    const auto& present = config_.routing;
    if (command.routing.version <= present.version)
        return accepted(present.version);
    if (configBytes_ + bytesOf(command.routing) > maxConfigBytes)
        return refused(ErrorKind::BodyTooLarge, "the configuration would be larger than 6 MiB", present.version);
    ConfigDelta delta;
    delta.routing = patchBetween(present, inCanonicalOrder(command.routing));
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
    for (const auto& customer : present.customers) {
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

CommandResult StateMachine::setTargetState(const SetTargetStateCommand& command)
{
    const auto* present = findTarget(command.target);
    if (!present)
        return refused(ErrorKind::NotFound, "there is no target " + command.target);
    if (present->state == command.state)
        return accepted(present->version);
    if (present->version != command.change.expectedVersion)
        return conflict("target " + command.target, present->version, command.change.expectedVersion);
    if (command.state < present->state)
        return refused(ErrorKind::BadRequest, "target " + command.target + " is " + std::string(toString(present->state)), present->version);
    Target target = *present;
    target.state = command.state;
    target.version = next(present->version);
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
            return refused(ErrorKind::BadRequest, "the node has no id, or there are " + std::to_string(maxNodes) + " nodes already");
        return publishNode(node);
    }
    if (node.incarnation < it->second.incarnation)
        return refused(ErrorKind::BadRequest, "a later incarnation of this node is registered");
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
        return refused(ErrorKind::NotFound, "this incarnation of the node is not registered");
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
    // The decision relied on the present owner's lease, which a registration since then may have renewed.
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
        return refused(ErrorKind::VersionConflict, "no move fits the present assignments");
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
    // A claim of a dead incarnation would never end: its records were marked unknown before.
    if (node == config_.nodes.end() || node->second.lost || node->second.incarnation != claim.nodeIncarnation)
        return { false, ErrorKind::NoLease, {} };
    ClaimResult result;
    result.decided = true;
    result.reply.outcome = runs_.claim(claim, body->maxRecords);
    if (result.reply.outcome == ClaimOutcome::Finished) {
        if (const auto* run = runs_.find(claim.key))
            result.reply.answer = run->record.response;
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
    delta.version = next(config_.version);
    size_t added = bytesOf(delta);
    configBytes_ += added;
    configBytes_ -= replacedBytes(config_, delta);
    if (delta.routing) {
        added += bytesOf(*delta.routing);
        configBytes_ -= bytesOfDocument(config_);
    }
    bool applied = applyDelta(config_, delta);
    assert(applied);
    (void)applied;
    if (delta.routing)
        configBytes_ += bytesOfDocument(config_);
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
    // A node that starts has nothing to apply deltas to.
    if (!applied.isValid() || (applied < config_.version && (deltas_.empty() || deltas_.front().delta.version > next(applied))))
        return std::nullopt;
    auto first = std::find_if(deltas_.begin(), deltas_.end(), [&](const KeptDelta& kept) { return kept.delta.version > applied; });
    return std::accumulate(first, deltas_.end(), size_t(0), [](size_t sum, const KeptDelta& kept) { return sum + kept.bytes; });
}

void StateMachine::addChangesSince(Version applied, HeartbeatReply& reply) const
{
    if (applied >= config_.version)
        return;
    auto bytes = deltaBytesSince(applied);
    if (!bytes || *bytes > configBytes_) {
        // Hundreds of nodes that start at once each register, which is a change; they share one encoding all the same.
        constexpr size_t mostAddedPart = 4;
        auto since = encoded_ ? deltaBytesSince(encoded_->version) : std::nullopt;
        if (!since || *since > configBytes_ / mostAddedPart)
            encoded_ = EncodedSnapshot { config_.version, config_ };
        reply.snapshot = encoded_->config;
        applied = encoded_->version;
    }
    for (const auto& kept : deltas_) {
        if (kept.delta.version > applied)
            reply.deltas.push_back(kept.delta);
    }
}

std::string StateMachine::takeSnapshot() const
{
    msgpack::sbuffer buffer(configBytes_ + runs_.responseBytes() + runs_.size() * expectedRunBytes + minSnapshotBytes);
    codec::Packer packer(buffer);
    packer.pack_array(snapshotFieldCount);
    codec::pack(packer, config_);
    codec::pack(packer, nodeRecordVersions_);
    codec::pack(packer, changes_.list());
    // The form of RunStoreSnapshot, without a copy of all records.
    packer.pack_array(2);
    packer.pack_array(static_cast<uint32_t>(runs_.size() - runs_.retiredCount()));
    runs_.forEachRun([&](const StoredRun& run) { codec::pack(packer, run); });
    packer.pack_array(static_cast<uint32_t>(runs_.retiredCount()));
    runs_.forEachRetired([&](const RetiredRun& run) { codec::pack(packer, run); });
    codec::pack(packer, nextCustomer_);
    codec::pack(packer, nextTarget_);
    codec::pack(packer, nextPool_);
    codec::pack(packer, routingSource_);
    return { buffer.data(), buffer.size() };
}

Result<void> StateMachine::loadSnapshot(std::string_view bytes)
{
    auto snapshot = decode<Snapshot>(bytes);
    if (!snapshot)
        return fail(ErrorKind::Damaged, "the snapshot of the control state cannot be read");
    config_ = std::move(snapshot->config);
    nodeRecordVersions_ = std::move(snapshot->nodeRecordVersion);
    changes_.restore(std::move(snapshot->changes));
    runs_.restore(std::move(snapshot->runs));
    nextCustomer_ = snapshot->nextCustomer;
    nextTarget_ = snapshot->nextTarget;
    nextPool_ = snapshot->nextPool;
    routingSource_ = std::move(snapshot->routingSource);
    configBytes_ = bytesOf(config_);
    deltas_.clear();
    encoded_.reset();
    return {};
}

}
