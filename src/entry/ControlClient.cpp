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

    /** For the answer that may bring the whole configuration. */
    constexpr Duration firstHeartbeatTimeout = 1s;
    /** Pause before the next voter is asked while no leader is known. */
    constexpr Duration voterRetryDelay = 100ms;
    /** Heartbeats that get no lease for longer than this are worth a line in the log. */
    constexpr Duration failureLogDelay = 2s;
    /** Longest wait for one voter's answer to a claim or an outcome before the next voter is asked. */
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
    {
    }

    void heartbeatUntilClosed()
    {
        while (!closed) {
            wake.reset();
            bool answered = heartbeat();
            if (closed)
                return;
            if (answered)
                wake.waitFor(settings.heartbeatInterval);
            else
                wake.waitFor(voterRetryDelay);
        }
    }

    /** The presumed leader, or the next voter with an open link; none if no link is open. */
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
            if (self && type == MessageType::HeartbeatCall)
                self->onHeartbeatSolicitation(address);
        };
        voters.push_back({ address, std::make_shared<LinkClient>(loop, address.host, address.port, settings.link, std::move(hooks)) });
    }

    void onHeartbeatSolicitation(const HostPort& caller)
    {
        auto it = std::find_if(voters.begin(), voters.end(), [&](const Voter& voter) { return voter.address == caller; });
        if (it == voters.end())
            return;
        leaderIndex = static_cast<size_t>(it - voters.begin());
        wake.set();
    }

    /** Links are kept to the seeds and to the processes that the leader named last. */
    void updateVoters(const std::vector<HostPort>& named)
    {
        if (!named.empty())
            announcedVoters = named;
        std::vector<HostPort> wanted = settings.voters;
        wanted.insert(wanted.end(), announcedVoters.begin(), announcedVoters.end());
        HostPort leader = leaderIndex < voters.size() ? voters[leaderIndex].address : HostPort {};
        std::erase_if(voters, [&](const Voter& voter) { return std::find(wanted.begin(), wanted.end(), voter.address) == wanted.end(); });
        for (const auto& address : wanted)
            connect(address);
        auto it = std::find_if(voters.begin(), voters.end(), [&](const Voter& voter) { return voter.address == leader; });
        leaderIndex = it == voters.end() ? 0 : static_cast<size_t>(it - voters.begin());
    }

    /** One heartbeat to the presumed leader; true if it brought a lease. */
    bool heartbeat()
    {
        auto chosen = chooseVoter();
        if (!chosen) {
            recordFailure("no control voter is reachable");
            return false;
        }
        size_t asked = leaderIndex = *chosen;
        Heartbeat message;
        message.node = settings.self;
        message.appliedVersion = view.config().version;
        if (busyClosingCustomers)
            message.busyClosingCustomers = busyClosingCustomers();
        // The lease counts from the sending, so the time is taken before anything can be delayed.
        Instant sentAt = BootClock::now();
        auto link = voters[asked].link;
        // A snapshot for a node without a configuration takes longer on a slow link than a silent leader should be waited for.
        auto timeout = hasConfiguration ? settings.heartbeatTimeout : std::max(settings.heartbeatTimeout, firstHeartbeatTimeout);
        auto answer = link->call(MessageType::Heartbeat, encode(message), timeout);
        if (closed)
            return false;
        auto reply = answer.and_then([](const std::string& body) { return decode<HeartbeatReply>(body); });
        if (!reply) {
            metrics.count("control_heartbeats_failed_total");
            recordFailure(reply.error().message);
            selectNextVoter(asked);
            return false;
        }
        if (reply->leaseDuration <= Duration::zero()) {
            followLeaderHint(asked, *reply);
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
        auto before = view.config().version;
        // The configuration comes first: whoever sees the lease must also see what was true when it was given.
        view.apply(reply);
        leaseEnd = std::max(leaseEnd, sentAt + reply.leaseDuration);
        hasConfiguration = true;
        updateVoters(reply.controlProcesses);
        // An immediate second heartbeat tells the leader that the change is in force here.
        if (view.config().version != before)
            wake.set();
    }

    void recordFailure(const std::string& message)
    {
        // Links take a moment to open at the start, and every change of leader loses a heartbeat or two.
        bool isUsual = BootClock::now() - lastLeaseAt < failureLogDelay;
        if (isUsual || message == lastFailure)
            return;
        lastFailure = message;
        clientLog().warning("heartbeats get no lease: " + message);
    }

    void selectNextVoter(size_t asked)
    {
        if (leaderIndex == asked)
            leaderIndex = (asked + 1) % voters.size();
    }

    void followLeaderHint(size_t asked, const HeartbeatReply& reply)
    {
        HostPort leader { reply.leaderHost, reply.leaderPort };
        if (!leader.host.empty())
            connect(leader);
        for (size_t i = 0; i < voters.size(); ++i) {
            if (i != asked && voters[i].address == leader) {
                leaderIndex = i;
                return;
            }
        }
        selectNextVoter(asked);
    }

    /** Sends until an answer is accepted or the time runs out; `accept` returns false to try again. */
    Result<void> commit(MessageType type, const std::string& body, Duration timeout, const std::function<bool(const std::string&)>& accept)
    {
        Instant deadline = BootClock::now() + timeout;
        bool mayBeCommitted = false;
        for (;;) {
            Duration left = deadline - BootClock::now();
            if (left <= Duration::zero() || closed)
                break;
            auto chosen = chooseVoter();
            if (!chosen) {
                sleepFor(loop, std::min(left, voterRetryDelay));
                continue;
            }
            size_t asked = *chosen;
            auto link = voters[asked].link;
            auto answer = link->call(type, body, std::min(left, commitAttemptTimeout));
            if (answer) {
                if (accept(*answer))
                    return {};
                mayBeCommitted = true;
            } else if (answer.error().kind != ErrorKind::Unavailable && answer.error().kind != ErrorKind::NotLeader
                && answer.error().kind != ErrorKind::NoQuorum) {
                return tl::unexpected(answer.error());
            } else {
                mayBeCommitted = true;
            }
            selectNextVoter(asked);
            sleepFor(loop, std::min(voterRetryDelay, std::max(Duration::zero(), deadline - BootClock::now())));
        }
        return fail(ErrorKind::NoQuorum, mayBeCommitted ? "no control leader confirmed in time; it may still be committed" : "no control voter is reachable");
    }

    Loop& loop;
    ControlClientSettings settings;
    ClusterView& view;
    MetricRegistry& metrics;
    FiberEvent wake;
    struct Voter {
        HostPort address;
        std::shared_ptr<LinkClient> link;
    };
    std::vector<Voter> voters;
    /** As the leader named them last. */
    std::vector<HostPort> announcedVoters;
    std::function<std::vector<CustomerId>()> busyClosingCustomers;
    size_t leaderIndex { 0 };
    Instant leaseEnd {};
    /** Time of the last lease, or of the start. */
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

}
