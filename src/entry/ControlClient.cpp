#include "briarhitch/entry/ControlClient.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/FiberEvent.h"
#include "briarhitch/runtime/Loop.h"
#include "wire/Codec.h"

#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** For the first reply, which may contain the complete configuration. */
    constexpr Duration firstHeartbeatTimeout = 1s;
    /** Delay before the next voter is tried while no leader is known. */
    constexpr Duration voterRetryDelay = 100ms;
    /** Time without a lease after which failed heartbeats are logged. */
    constexpr Duration failureLogDelay = 2s;
    /** Longest wait for one voter's reply to a claim or an outcome before the next voter is tried. */
    constexpr Duration commitAttemptTimeout = 1s;

    const Log& clientLog()
    {
        static const Log log("entry:");
        return log;
    }

}

struct ControlClient::Impl : std::enable_shared_from_this<ControlClient::Impl> {
    Impl(Loop& loopToUse, ControlClientSettings settingsToUse, ClusterView& viewToUse, MetricRegistry& metricsToUse)
        : loop(loopToUse)
        , settings(std::move(settingsToUse))
        , view(viewToUse)
        , metrics(metricsToUse)
        , wake(loopToUse)
        , confirmed(loopToUse)
    {
    }

    void heartbeatUntilClosed()
    {
        while (!closed) {
            wake.reset();
            bool hasLease = heartbeat();
            if (closed)
                return;
            if (hasLease)
                wake.waitFor(settings.heartbeatInterval);
            else
                wake.waitFor(voterRetryDelay);
        }
    }

    /** Index of the presumed leader, or of the next voter with an open link; none if no link is open. */
    std::optional<size_t> chooseVoter() const
    {
        for (size_t i = 0; i < voters.size(); ++i) {
            size_t candidate = (leaderIndex + i) % voters.size();
            if (voters[candidate].link->isOpen())
                return candidate;
        }
        return std::nullopt;
    }

    bool hasVoter(const HostPort& address) const
    {
        return std::any_of(voters.begin(), voters.end(), [&](const Voter& voter) { return voter.address == address; });
    }

    void connect(const HostPort& address)
    {
        if (hasVoter(address))
            return;
        LinkHooks hooks;
        hooks.onPost = [weak = weak_from_this(), address](const Peer&, MessageType type, std::string_view) {
            auto self = weak.lock();
            if (self && type == MessageType::HeartbeatSolicitation)
                self->onHeartbeatSolicitation(address);
        };
        voters.push_back({ address, std::make_shared<LinkClient>(loop, address.host, address.port, settings.link, std::move(hooks)) });
    }

    void onHeartbeatSolicitation(const HostPort& leaderAddress)
    {
        auto it = std::find_if(voters.begin(), voters.end(), [&](const Voter& voter) { return voter.address == leaderAddress; });
        if (it == voters.end())
            return;
        leaderIndex = static_cast<size_t>(it - voters.begin());
        wake.set();
    }

    /** Keeps links to the configured voters and to the processes that the leader announced last. */
    void updateVoters(const std::vector<HostPort>& announced)
    {
        if (!announced.empty())
            announcedVoters = announced;
        std::vector<HostPort> wanted = settings.voters;
        wanted.insert(wanted.end(), announcedVoters.begin(), announcedVoters.end());
        HostPort leader = leaderIndex < voters.size() ? voters[leaderIndex].address : HostPort {};
        std::erase_if(voters, [&](const Voter& voter) { return std::find(wanted.begin(), wanted.end(), voter.address) == wanted.end(); });
        for (const auto& address : wanted)
            connect(address);
        auto it = std::find_if(voters.begin(), voters.end(), [&](const Voter& voter) { return voter.address == leader; });
        leaderIndex = it == voters.end() ? 0 : static_cast<size_t>(it - voters.begin());
    }

    /** Sends one heartbeat to the presumed leader; true if the reply granted a lease. */
    bool heartbeat()
    {
        auto chosen = chooseVoter();
        if (!chosen) {
            recordFailure("no control voter is reachable");
            return false;
        }
        size_t voterIndex = leaderIndex = *chosen;
        Heartbeat message;
        message.node = settings.self;
        message.appliedVersion = view.config().version;
        if (busyClosingCustomers)
            message.busyClosingCustomers = busyClosingCustomers();
        // The lease duration counts from the sending of the heartbeat, so the time is taken before any possible delay.
        Instant sentAt = BootClock::now();
        auto link = voters[voterIndex].link;
        // On a slow link the first snapshot takes longer than an unresponsive leader should be waited for.
        auto timeout = hasConfiguration ? settings.heartbeatTimeout : std::max(settings.heartbeatTimeout, firstHeartbeatTimeout);
        auto replyBody = link->call(MessageType::Heartbeat, encode(message), timeout);
        if (closed)
            return false;
        auto reply = replyBody.and_then([](const std::string& body) { return decode<HeartbeatReply>(body); });
        if (!reply) {
            metrics.count("control_heartbeats_failed_total");
            recordFailure(reply.error().message);
            selectNextVoter(voterIndex);
            return false;
        }
        if (reply->leaseDuration <= Duration::zero()) {
            followLeaderHint(voterIndex, *reply);
            return false;
        }
        applyReply(*reply, sentAt);
        return true;
    }

    void applyReply(const HeartbeatReply& reply, Instant sentAt)
    {
        metrics.count("control_heartbeats_total");
        lastFailure.clear();
        lastLeaseAt = BootClock::now();
        auto previousVersion = view.config().version;
        // Applied before the lease: code that sees the lease must also see the configuration it was granted with.
        view.apply(reply);
        leaseEnd = std::max(leaseEnd, sentAt + reply.leaseDuration);
        hasConfiguration = true;
        confirmedAt = std::max(confirmedAt, sentAt);
        confirmed.set();
        updateVoters(reply.controlProcesses);
        // An immediate second heartbeat confirms to the leader that this node has applied the change.
        if (view.config().version != previousVersion)
            wake.set();
    }

    bool confirmConfiguration(Duration maxAge, Duration timeout)
    {
        auto calledAt = BootClock::now();
        for (;;) {
            if (confirmedAt > calledAt - maxAge)
                return true;
            auto timeLeft = calledAt + timeout - BootClock::now();
            if (closed || timeLeft <= Duration::zero())
                return false;
            confirmed.reset();
            wake.set();
            confirmed.waitFor(timeLeft);
        }
    }

    void recordFailure(const std::string& message)
    {
        // A few failures are normal while links open at the start, and after each change of leader.
        bool isExpected = BootClock::now() - lastLeaseAt < failureLogDelay;
        if (isExpected || message == lastFailure)
            return;
        lastFailure = message;
        clientLog().warning("no lease from heartbeats: " + message);
    }

    void selectNextVoter(size_t voterIndex)
    {
        if (leaderIndex == voterIndex)
            leaderIndex = (voterIndex + 1) % voters.size();
    }

    void followLeaderHint(size_t voterIndex, const HeartbeatReply& reply)
    {
        HostPort leader { reply.leaderHost, reply.leaderPort };
        if (!leader.host.empty())
            connect(leader);
        for (size_t i = 0; i < voters.size(); ++i) {
            if (i != voterIndex && voters[i].address == leader) {
                leaderIndex = i;
                return;
            }
        }
        selectNextVoter(voterIndex);
    }

    /** Retries until `accept` returns true for a reply or the timeout expires. */
    Result<void> commit(MessageType type, const std::string& body, Duration timeout, const std::function<bool(const std::string&)>& accept)
    {
        Instant deadline = BootClock::now() + timeout;
        bool mayBeCommitted = false;
        for (;;) {
            Duration remaining = deadline - BootClock::now();
            if (remaining <= Duration::zero() || closed)
                break;
            auto chosen = chooseVoter();
            if (!chosen) {
                sleepFor(loop, std::min(remaining, voterRetryDelay));
                continue;
            }
            size_t voterIndex = *chosen;
            auto link = voters[voterIndex].link;
            auto replyBody = link->call(type, body, std::min(remaining, commitAttemptTimeout));
            if (replyBody) {
                if (accept(*replyBody))
                    return {};
                mayBeCommitted = true;
            } else if (replyBody.error().kind != ErrorKind::Unavailable && replyBody.error().kind != ErrorKind::NotLeader
                && replyBody.error().kind != ErrorKind::NoQuorum) {
                return tl::unexpected(replyBody.error());
            } else {
                mayBeCommitted = true;
            }
            selectNextVoter(voterIndex);
            sleepFor(loop, std::min(voterRetryDelay, std::max(Duration::zero(), deadline - BootClock::now())));
        }
        return fail(ErrorKind::NoQuorum, mayBeCommitted ? "no control leader confirmed the request before the timeout; it may still be committed" : "no control voter is reachable");
    }

    Loop& loop;
    ControlClientSettings settings;
    ClusterView& view;
    MetricRegistry& metrics;
    FiberEvent wake;
    /** A heartbeat was answered. */
    FiberEvent confirmed;
    /** When the last heartbeat was sent that has been answered. */
    Instant confirmedAt {};
    struct Voter {
        HostPort address;
        std::shared_ptr<LinkClient> link;
    };
    std::vector<Voter> voters;
    /** Control processes that the leader announced last. */
    std::vector<HostPort> announcedVoters;
    std::function<std::vector<CustomerId>()> busyClosingCustomers;
    size_t leaderIndex { 0 };
    Instant leaseEnd {};
    /** When the last lease was granted, or this client started. */
    Instant lastLeaseAt {};
    bool hasConfiguration { false };
    bool closed { false };
    std::string lastFailure;
};

ControlClient::ControlClient(Loop& loop, ControlClientSettings settings, ClusterView& view, MetricRegistry& metrics)
    : impl_(std::make_shared<Impl>(loop, std::move(settings), view, metrics))
{
}

ControlClient::~ControlClient()
{
    impl_->closed = true;
    impl_->wake.set();
    impl_->confirmed.set();
    for (auto& voter : impl_->voters)
        voter.link->close();
}

void ControlClient::start()
{
    impl_->lastLeaseAt = BootClock::now();
    impl_->updateVoters({});
    impl_->loop.spawn([impl = impl_] { impl->heartbeatUntilClosed(); });
}

bool ControlClient::hasLease() const
{
    return BootClock::now() < impl_->leaseEnd;
}

bool ControlClient::hasConfiguration() const
{
    return impl_->hasConfiguration;
}

bool ControlClient::confirmConfiguration(Duration maxAge, Duration timeout)
{
    auto impl = impl_;
    return impl->confirmConfiguration(maxAge, timeout);
}

void ControlClient::heartbeatNow()
{
    impl_->wake.set();
}

void ControlClient::setDraining()
{
    impl_->settings.self.draining = true;
    heartbeatNow();
}

void ControlClient::setSeeds(const std::vector<HostPort>& seeds)
{
    if (seeds == impl_->settings.voters)
        return;
    impl_->settings.voters = seeds;
    impl_->updateVoters({});
}

void ControlClient::setBusyClosingCustomersHook(std::function<std::vector<CustomerId>()> hook)
{
    impl_->busyClosingCustomers = std::move(hook);
}

Result<ClaimRunReply> ControlClient::claimRun(const ClaimRun& claim, Duration timeout)
{
    auto impl = impl_;
    ClaimRunReply reply;
    auto committed = impl->commit(MessageType::ClaimRun, encode(claim), timeout, [&reply](const std::string& body) {
        auto decoded = decode<ClaimRunReply>(body);
        if (!decoded || decoded->outcome == ClaimOutcome::NotLeader || decoded->outcome == ClaimOutcome::NoQuorum)
            return false;
        reply = std::move(*decoded);
        return true;
    });
    if (!committed)
        return tl::unexpected(committed.error());
    return reply;
}

Result<void> ControlClient::finishRun(const FinishRun& finish, Duration timeout)
{
    auto impl = impl_;
    return impl->commit(MessageType::FinishRun, encode(finish), timeout, [](const std::string& body) {
        auto decoded = decode<FinishRunReply>(body);
        return decoded && decoded->committed;
    });
}

Result<void> ControlClient::recordSuspects(const RecordSuspects& changes, Duration timeout)
{
    auto impl = impl_;
    return impl->commit(MessageType::RecordSuspects, encode(changes), timeout, [](const std::string& body) {
        auto decoded = decode<RecordSuspectsReply>(body);
        return decoded && decoded->committed;
    });
}

Result<void> ControlClient::recordStreams(const RecordStreams& streams, Duration timeout)
{
    auto impl = impl_;
    return impl->commit(MessageType::RecordStreams, encode(streams), timeout, [](const std::string& body) {
        auto decoded = decode<RecordStreamsReply>(body);
        return decoded && decoded->committed;
    });
}

Result<std::optional<StreamBinding>> ControlClient::findStream(StreamId stream, Duration timeout)
{
    auto impl = impl_;
    std::optional<StreamBinding> binding;
    auto answered = impl->commit(MessageType::FindStream, encode(FindStream { stream }), timeout, [&binding](const std::string& body) {
        auto decoded = decode<FindStreamReply>(body);
        if (!decoded || !decoded->isDecided)
            return false;
        binding = std::move(decoded->binding);
        return true;
    });
    if (!answered)
        return tl::unexpected(answered.error());
    return binding;
}

Result<void> ControlClient::reportRollout(const RolloutReport& report, Duration timeout)
{
    auto impl = impl_;
    // A reply that does not accept the report is final: the next one follows at once, and trying other voters would make
    // heartbeats lose the leader.
    bool isAccepted = false;
    auto sent = impl->commit(MessageType::RolloutReport, encode(report), timeout, [&isAccepted](const std::string& body) {
        auto decoded = decode<RolloutReportReply>(body);
        isAccepted = decoded && decoded->accepted;
        return true;
    });
    if (sent && !isAccepted)
        return fail(ErrorKind::NotLeader, "the control voter did not accept the report");
    return sent;
}

}
