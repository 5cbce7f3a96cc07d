#include "briarhitch/control/ControlServer.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/wire/StreamMessages.h"
#include "control/StreamBatch.h"
#include "control/VersionRetirement.h"
#include "rollout/RolloutDriver.h"
#include "wire/Codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace briarhitch {

namespace {

    /** Most run records retired by one command, so that applying it does not noticeably delay heartbeats. */
    constexpr uint32_t maxRetiredRunsPerCommand = 500;

    constexpr std::array<std::string_view, 8> claimOutcomeNames {
        "granted", "finished", "in_progress", "unknown", "conflict", "store_full", "not_leader", "no_quorum"
    };

    const Log& controlLog()
    {
        static const Log log("control:");
        return log;
    }

    std::string describe(NodeId node)
    {
        return "node " + std::to_string(node.value());
    }

    /** Whether the list differs from the discovered targets of the configuration. */
    bool differsFromDiscovered(const ClusterConfig& config, const std::vector<Target>& listed)
    {
        std::map<std::string, const Target*> known;
        for (const auto& [id, target] : config.targets) {
            if (target.isDiscovered)
                known[target.name] = &target;
        }
        if (known.size() != listed.size())
            return true;
        return std::any_of(listed.begin(), listed.end(), [&](Target target) {
            auto it = known.find(target.name);
            if (it == known.end())
                return true;
            target.id = it->second->id;
            target.version = it->second->version;
            target.pool = it->second->pool;
            target.isDiscovered = true;
            return target != *it->second;
        });
    }

    bool isSender(const Peer& peer, NodeId node, Incarnation incarnation)
    {
        return peer.identity.role == LinkRole::Entry && peer.identity.node == node && peer.identity.incarnation == incarnation;
    }

}

/** Shared with the fiber that calls tick(), which may outlive the server. */
struct ControlServer::Lifetime {
    explicit Lifetime(Loop& loop)
        : wake(loop)
    {
    }

    bool stopped { false };
    /** Ends the wait between two ticks. */
    FiberEvent wake;
};

ControlServer::ControlServer(Loop& loop, ControlServerSettings settings, StateMachine& state, MetricRegistry& metrics)
    : loop_(loop)
    , settings_(std::move(settings))
    , state_(state)
    , metrics_(metrics)
    , leases_(settings_.lease)
    , versionRetirement_(std::make_unique<VersionRetirement>())
    , streamBatch_(std::make_unique<StreamBatch>(loop, [this](std::vector<StreamGroup> groups) { return commitStreams(std::move(groups)); }))
    , lifetime_(std::make_shared<Lifetime>(loop))
{
    if (settings_.rollout)
        rollouts_ = std::make_unique<RolloutDriver>(*settings_.rollout,
            RolloutDriverHooks { [this](Version version) { return nodesBehind(version).empty(); }, [this] { return mayAnyNodeHoldLease(); } });
}

ControlServer::~ControlServer()
{
    stop();
}

void ControlServer::onRoleChange(bool isLeader, uint64_t term)
{
    leading_ = isLeader;
    isAnnounced_ = false;
    leaderSince_ = BootClock::now();
    streamsProposedAt_.reset();
    lifetime_->wake.set();
    reports_.clear();
    assigner_ = PoolAssigner(settings_.takeoverTimeout);
    *versionRetirement_ = VersionRetirement();
    if (rollouts_)
        rollouts_->reset();
    leases_.becomeLeader(BootClock::now());
    controlLog().info(isLeader ? "leader in term " + std::to_string(term) : "not leader in term " + std::to_string(term));
}

void ControlServer::start()
{
    loop_.spawn([this, lifetime = lifetime_] {
        while (!lifetime->stopped) {
            lifetime->wake.reset();
            lifetime->wake.waitFor(tickInterval());
            if (!lifetime->stopped)
                tick();
        }
    });
}

Duration ControlServer::tickInterval() const
{
    bool isNewLeader = leading_ && BootClock::now() - leaderSince_ < settings_.newLeaderPeriod;
    return isNewLeader ? settings_.newLeaderTickInterval : settings_.tickInterval;
}

void ControlServer::stop()
{
    lifetime_->stopped = true;
    lifetime_->wake.set();
}

bool ControlServer::isLeader() const
{
    return leading_ && log_->hasLeaderLease();
}

std::optional<ControlVoter> ControlServer::leader() const
{
    auto id = log_->leader();
    if (!id)
        return std::nullopt;
    auto it = std::find_if(settings_.voters.begin(), settings_.voters.end(), [&](const ControlVoter& voter) { return voter.node == *id; });
    if (it != settings_.voters.end())
        return *it;
    return settings_.findVoter ? settings_.findVoter(*id) : std::nullopt;
}

Result<CommandResult> ControlServer::putRouting(const Routing& routing, const std::string& source)
{
    auto result = propose(encodeCommand(PutRoutingCommand { routing, source }));
    if (result && result->accepted)
        controlLog().info("routing document " + std::to_string(routing.version.value()) + " is acknowledged; the current version is "
            + std::to_string(state_.config().routing.version.value()));
    return result;
}

Result<void> ControlServer::replaceDiscovered(const std::vector<Target>& targets, const std::string& poolScope)
{
    if (!differsFromDiscovered(state_.config(), targets))
        return {};
    auto result = propose(encodeCommand(ReplaceDiscoveredCommand { targets, poolScope }));
    if (!result)
        return tl::unexpected(result.error());
    if (!result->accepted)
        return fail(result->kind, result->message);
    controlLog().info("discovery lists " + std::to_string(targets.size()) + " targets; configuration version "
        + std::to_string(result->configVersion.value()));
    return {};
}

Result<CommandResult> ControlServer::propose(std::string command)
{
    if (!isLeader())
        return fail(ErrorKind::NotLeader, "this voter is not the leader");
    auto encodedResult = log_->propose(std::move(command), settings_.proposeTimeout);
    if (encodedResult)
        return decodeCommandResult(*encodedResult);
    auto error = encodedResult.error();
    if (error.kind == ErrorKind::NoQuorum)
        error.ran = Ran::Unknown;
    return tl::unexpected(error);
}

Result<std::string> ControlServer::onRequest(const Peer& peer, MessageType type, std::string_view body)
{
    switch (type) {
    case MessageType::Heartbeat:
        return onHeartbeat(peer, body);
    case MessageType::ClaimRun:
        return onClaim(peer, body);
    case MessageType::FinishRun:
        return onFinish(peer, body);
    case MessageType::RecordSuspects:
        return onRecordSuspects(peer, body);
    case MessageType::RolloutReport:
        return onRolloutReport(peer, body);
    case MessageType::RecordStreams:
        return onRecordStreams(peer, body);
    case MessageType::FindStream:
        return onFindStream(peer, body);
    default:
        return fail(ErrorKind::BadRequest, "control processes do not handle messages of this type");
    }
}

std::string ControlServer::redirect() const
{
    HeartbeatReply reply;
    auto voter = leader();
    if (voter && voter->node != settings_.self) {
        reply.leaderHost = voter->host;
        reply.leaderPort = voter->port;
    }
    reply.term = log_->term();
    return encode(reply);
}

Result<void> ControlServer::registerIfChanged(const NodeRecord& node)
{
    const auto& nodes = state_.config().nodes;
    auto it = nodes.find(node.id);
    if (it != nodes.end() && it->second == node)
        return {};
    auto result = propose(encodeCommand(RegisterNodeCommand { node }, wallClockMs()));
    if (!result)
        return tl::unexpected(result.error());
    if (!result->accepted)
        return fail(ErrorKind::BadRequest, describe(node.id) + ": " + result->message);
    controlLog().info(describe(node.id) + " is registered in zone " + node.zone + (node.draining ? " as draining" : ""));
    // Another command may have been applied meanwhile, for example one that marks the node as lost.
    it = nodes.find(node.id);
    if (it == nodes.end() || it->second != node)
        return fail(ErrorKind::Unavailable, describe(node.id) + ": its record was changed by another command");
    return {};
}

Result<std::string> ControlServer::onHeartbeat(const Peer& peer, std::string_view body)
{
    auto heartbeat = decode<Heartbeat>(body);
    if (!heartbeat)
        return tl::unexpected(heartbeat.error());
    auto node = heartbeat->node;
    node.lost = false;
    if (!isSender(peer, node.id, node.incarnation))
        return fail(ErrorKind::Unauthorized, "the heartbeat's node does not match the link's identity");
    if (!isLeader())
        return redirect();
    auto registered = registerIfChanged(node);
    if (!registered && registered.error().kind != ErrorKind::NotLeader)
        return tl::unexpected(registered.error());
    if (!registered || !isLeader())
        return redirect();
    // The lease is granted and the configuration read without a wait in between: a node that holds the lease knows every earlier decision.
    leases_.grant(node.id, node.incarnation, BootClock::now());
    reports_[node.id] = { node.incarnation, heartbeat->appliedVersion, heartbeat->busyClosingCustomers };
    metrics_.count("control_heartbeats_total");
    HeartbeatReply reply;
    reply.leaseDuration = settings_.lease.lease;
    reply.term = log_->term();
    if (settings_.controlProcesses)
        reply.controlProcesses = settings_.controlProcesses();
    state_.addChangesSince(heartbeat->appliedVersion, reply);
    return encode(reply);
}

Result<std::string> ControlServer::onClaim(const Peer& peer, std::string_view body)
{
    auto claim = decode<ClaimRun>(body);
    if (!claim)
        return tl::unexpected(claim.error());
    if (!isSender(peer, claim->node, claim->nodeIncarnation))
        return fail(ErrorKind::Unauthorized, "the claim's node does not match the link's identity");
    ClaimRunReply reply;
    reply.outcome = ClaimOutcome::NotLeader;
    if (!isLeader())
        return encode(reply);
    auto encodedResult = log_->propose(encodeCommand(ClaimRunCommand { *claim, settings_.maxRunRecords }, wallClockMs()), settings_.proposeTimeout);
    if (!encodedResult) {
        if (encodedResult.error().kind != ErrorKind::NotLeader)
            reply.outcome = ClaimOutcome::NoQuorum;
        return encode(reply);
    }
    auto result = decodeClaimResult(*encodedResult);
    if (!result)
        return tl::unexpected(result.error());
    if (!result->decided) {
        metrics_.count("control_claims_refused_total", "kind=\"" + std::string(errorInfo(result->kind).name) + "\"");
        return fail(result->kind, "the claim was not recorded");
    }
    metrics_.count("control_claims_total", "outcome=\"" + std::string(claimOutcomeNames.at(static_cast<size_t>(result->reply.outcome))) + "\"");
    return encode(result->reply);
}

Result<std::string> ControlServer::onFinish(const Peer& peer, std::string_view body)
{
    auto finish = decode<FinishRun>(body);
    if (!finish)
        return tl::unexpected(finish.error());
    if (peer.identity.role != LinkRole::Entry)
        return fail(ErrorKind::Unauthorized, "only entries may report outcomes");
    FinishRunReply reply;
    if (!isLeader())
        return encode(reply);
    auto encodedResult = log_->propose(encodeCommand(FinishRunCommand { *finish, settings_.maxResponseBytes }, wallClockMs()), settings_.proposeTimeout);
    reply.committed = encodedResult.has_value();
    return encode(reply);
}

Result<std::string> ControlServer::onRecordSuspects(const Peer& peer, std::string_view body)
{
    auto changes = decode<RecordSuspects>(body);
    if (!changes)
        return tl::unexpected(changes.error());
    if (peer.identity.role != LinkRole::Entry)
        return fail(ErrorKind::Unauthorized, "only entries may report suspects");
    RecordSuspectsReply reply;
    if (isLeader())
        reply.committed = recordSuspects(*changes).has_value();
    return encode(reply);
}

Result<CommandResult> ControlServer::recordSuspects(const RecordSuspects& changes)
{
    auto result = propose(encodeCommand(RecordSuspectsCommand { changes }, wallClockMs()));
    if (!result)
        return result;
    for (const auto& record : changes.blocked)
        controlLog().info(toString(record.id) + " is recorded as blocked after " + std::to_string(record.crashes) + " crashes");
    for (auto id : changes.cleared)
        controlLog().info(toString(id) + " is recorded as cleared");
    return result;
}

Result<std::string> ControlServer::onRecordStreams(const Peer& peer, std::string_view body)
{
    auto streams = decode<RecordStreams>(body);
    if (!streams)
        return tl::unexpected(streams.error());
    if (peer.identity.role != LinkRole::Entry)
        return fail(ErrorKind::Unauthorized, "only entries may report streams");
    RecordStreamsReply reply;
    if (isLeader())
        reply.committed = streamBatch_->commit(streams->groups);
    return encode(reply);
}

bool ControlServer::commitStreams(std::vector<StreamGroup> groups)
{
    auto now = BootClock::now();
    auto elapsed = now - streamsProposedAt_.value_or(now);
    streamsProposedAt_ = now;
    size_t count = 0;
    for (const auto& group : groups)
        count += group.streams.size();
    auto result = propose(encodeCommand(RecordStreamsCommand { std::move(groups), static_cast<uint64_t>(toMs(elapsed)) }));
    metrics_.count("control_recorded_streams_total", result ? "committed=\"true\"" : "committed=\"false\"", count);
    return result && result->accepted;
}

Result<std::string> ControlServer::onFindStream(const Peer& peer, std::string_view body)
{
    auto request = decode<FindStream>(body);
    if (!request)
        return tl::unexpected(request.error());
    if (peer.identity.role != LinkRole::Entry)
        return fail(ErrorKind::Unauthorized, "only entries may look for streams");
    FindStreamReply reply;
    // Another leader may have recorded it, which only the lease rules out.
    reply.isDecided = isLeader();
    if (reply.isDecided)
        reply.binding = state_.streams().find(request->stream);
    if (reply.isDecided)
        metrics_.count("control_stream_lookups_total", reply.binding ? "found=\"yes\"" : "found=\"no\"");
    return encode(reply);
}

Result<std::string> ControlServer::onRolloutReport(const Peer& peer, std::string_view body)
{
    auto report = decode<RolloutReport>(body);
    if (!report)
        return tl::unexpected(report.error());
    if (peer.identity.role != LinkRole::Entry)
        return fail(ErrorKind::Unauthorized, "only entries may report on rollouts");
    RolloutReportReply reply;
    if (rollouts_ && isLeader())
        reply.accepted = rollouts_->addReport(state_.config(), peer.identity.node, *report, BootClock::now());
    metrics_.count("control_rollout_reports_total", reply.accepted ? "accepted=\"true\"" : "accepted=\"false\"");
    return encode(reply);
}

Result<CommandResult> ControlServer::startRollout(const std::string& service, const std::string& targetVersion, uint32_t durationMs)
{
    if (!rollouts_)
        return fail(ErrorKind::NotFound, "rollouts are not enabled");
    auto idOf = [&] {
        auto known = state_.config().rollouts.find(service);
        return known == state_.config().rollouts.end() ? RolloutId() : known->second.id;
    };
    auto before = idOf();
    auto result = propose(encodeCommand(StartRolloutCommand { service, targetVersion, durationMs, rollouts_->trialPermille() }, wallClockMs()));
    if (result && result->accepted && idOf() != before)
        announceRollout(service, result->configVersion, "ordered for " + std::to_string(durationMs) + " ms");
    return result;
}

void ControlServer::announceRollout(const std::string& service, Version version, const std::string& reason)
{
    const auto& rollout = state_.config().rollouts.at(service);
    rollouts_->onChanged(rollout, version, reason, BootClock::now());
    auto counts = rollouts_->countsOf(rollout.id);
    controlLog().info("rollout " + std::to_string(rollout.id.value()) + " of service " + service + " to version " + rollout.targetVersion + ": "
        + std::string(toString(rollout.state)) + ", stage " + std::string(toString(rollout.stage)) + ", " + std::to_string(rollout.sharePermille)
        + " permille; granted " + std::to_string(counts.target.granted) + " to the version and " + std::to_string(counts.others.granted)
        + " to others: " + reason);
    solicitHeartbeats();
}

bool ControlServer::mayAnyNodeHoldLease() const
{
    auto now = BootClock::now();
    const auto& nodes = state_.config().nodes;
    return std::any_of(nodes.begin(), nodes.end(), [&](const auto& entry) { return !entry.second.lost && leases_.mayHoldLease(entry.first, entry.second.incarnation, now); });
}

std::vector<NodeId> ControlServer::nodesBehind(Version version) const
{
    std::vector<NodeId> behind;
    auto now = BootClock::now();
    for (const auto& [id, node] : state_.config().nodes) {
        if (node.lost || !leases_.mayHoldLease(id, node.incarnation, now))
            continue;
        const auto* report = findReport(id);
        if (!report || report->incarnation != node.incarnation || report->applied < version)
            behind.push_back(id);
    }
    return behind;
}

std::vector<NodeId> ControlServer::nodesBusyWith(CustomerId customer) const
{
    std::vector<NodeId> busy;
    for (const auto& [id, report] : reports_) {
        auto node = state_.config().nodes.find(id);
        if (node == state_.config().nodes.end() || node->second.lost)
            continue;
        const auto& customers = report.busyClosingCustomers;
        if (std::find(customers.begin(), customers.end(), customer) != customers.end())
            busy.push_back(id);
    }
    return busy;
}

const NodeReport* ControlServer::findReport(NodeId node) const
{
    auto it = reports_.find(node);
    return it == reports_.end() ? nullptr : &it->second;
}

void ControlServer::tick()
{
    publishGauges();
    if (!isLeader())
        return;
    announceLeadership();
    markLostNodes();
    assignPools();
    retireResponses();
    retireSoftwareVersions();
    advanceRollouts();
    leases_.removeExpired(BootClock::now());
}

void ControlServer::announceLeadership()
{
    if (std::exchange(isAnnounced_, true))
        return;
    solicitHeartbeats();
}

void ControlServer::solicitHeartbeats() const
{
    if (settings_.solicitHeartbeats)
        settings_.solicitHeartbeats();
}

void ControlServer::markLostNodes()
{
    // A copy, because the configuration may change while a command is being committed.
    auto nodes = state_.config().nodes;
    for (const auto& [id, node] : nodes) {
        if (node.lost || !isLeader() || leases_.mayHoldLease(id, node.incarnation, BootClock::now()))
            continue;
        auto result = propose(encodeCommand(MarkNodeLostCommand { id, node.incarnation }, wallClockMs()));
        if (!result)
            return;
        if (!result->accepted)
            continue;
        metrics_.count("control_nodes_lost_total");
        controlLog().warning(describe(id) + " in zone " + node.zone + " is lost: its lease has expired");
    }
}

void ControlServer::assignPools()
{
    auto changedAt = [this](NodeId node) { return state_.nodeRecordVersion(node); };
    auto moves = assigner_.decide(state_.config(), leases_, changedAt, BootClock::now());
    if (moves.empty() || !isLeader())
        return;
    auto result = propose(encodeCommand(AssignPoolsCommand { moves }));
    if (!result || !result->accepted)
        return;
    metrics_.count("control_pool_moves_total", {}, moves.size());
    solicitHeartbeats();
    for (const auto& move : moves)
        controlLog().info("pool " + state_.config().pools.at(move.pool).name + " is assigned to " + describe(move.owner)
            + (move.previousOwner.isValid() ? ", handed over by " + describe(move.previousOwner) : ""));
}

void ControlServer::retireResponses()
{
    int64_t before = wallClockMs() - toMs(settings_.responseRetention);
    if (state_.runs().hasEndedBefore(before) && isLeader())
        (void)propose(encodeCommand(RetireRunsCommand { before, maxRetiredRunsPerCommand }));
}

void ControlServer::retireSoftwareVersions()
{
    for (const auto& command : versionRetirement_->decide(state_.config(), BootClock::now())) {
        if (!isLeader() || !propose(encodeCommand(command)))
            return;
        controlLog().info("pool " + state_.config().pools.at(command.pool).name + ": " + std::to_string(command.versions.size())
            + " former software versions are forgotten, as none of their streams can be continued any more");
    }
}

void ControlServer::advanceRollouts()
{
    if (!rollouts_)
        return;
    for (const auto& decision : rollouts_->decide(state_.config(), BootClock::now(), wallClockMs())) {
        auto result = isLeader() ? propose(encodeCommand(decision.command)) : fail(ErrorKind::NotLeader, "this voter is not the leader");
        const auto& service = decision.command.expected.service;
        if (!result) {
            // Decided again at the next tick, or by the next leader.
            controlLog().warning("rollout of service " + service + ": the next step was not committed: " + result.error().message);
            return;
        }
        if (result->accepted)
            announceRollout(service, result->configVersion, decision.reason);
        else
            controlLog().info("rollout of service " + service + ": the next step was not accepted: " + result->message);
    }
}

void ControlServer::publishGauges()
{
    if (rollouts_)
        rollouts_->publish(state_.config(), metrics_);
    const auto& config = state_.config();
    auto unowned = std::count_if(config.pools.begin(), config.pools.end(), [](const auto& entry) { return !entry.second.owner.isValid(); });
    auto lost = std::count_if(config.nodes.begin(), config.nodes.end(), [](const auto& entry) { return entry.second.lost; });
    metrics_.setGauge("control_is_leader", {}, isLeader() ? 1 : 0);
    metrics_.setGauge("control_term", {}, static_cast<double>(log_->term()));
    metrics_.setGauge("control_config_version", {}, static_cast<double>(config.version.value()));
    metrics_.setGauge("control_nodes", {}, static_cast<double>(config.nodes.size()));
    metrics_.setGauge("control_link_bytes_sent", {}, static_cast<double>(linkTraffic().bytesSent));
    metrics_.setGauge("control_link_bytes_received", {}, static_cast<double>(linkTraffic().bytesReceived));
    metrics_.setGauge("control_blocked_suspects", {}, static_cast<double>(config.suspects.size()));
    metrics_.setGauge("control_nodes_lost", {}, static_cast<double>(lost));
    metrics_.setGauge("control_pools_without_owner", {}, static_cast<double>(unowned));
    metrics_.setGauge("control_run_records", {}, static_cast<double>(state_.runs().size()));
    metrics_.setGauge("control_run_answer_bytes", {}, static_cast<double>(state_.runs().responseBytes()));
}

}
