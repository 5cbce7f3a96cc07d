#pragma once

#include "briarhitch/core/Random.h"
#include "briarhitch/entry/CeilingClient.h"
#include "briarhitch/entry/CeilingHost.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "support/EntryFakes.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace briarhitch {

struct CeilingFleetOptions {
    uint32_t entries { 9 };
    double tokensPerSecond { 258000 };
    CeilingTolerance tolerance { std::chrono::seconds(8), 0.1, 72000 };
    /** Tokens that the customer asks for, as a multiple of its rate. */
    double demand { 3 };
    /** Requests have between a twentieth and twice this size. */
    int64_t meanRequestTokens { 6000 };
    uint64_t seed { 1 };
};

/**
 * One customer's ceiling with entries and owners under a simulated clock. Entries have the ids 1, 2, ..., owners 1001 and
 * 1002. A call over a cut link gets no reply; its sender closes the link after the idle timeout.
 */
class CeilingFleet {
public:
    static constexpr uint32_t firstOwner = 1001;
    static constexpr uint32_t secondOwner = 1002;

    CeilingFleet(Loop& loop, const CeilingFleetOptions& options)
        : loop_(loop)
        , options_(options)
        , random_(options.seed)
    {
        contract_.customer = CustomerId(4);
        contract_.ceiling.tokensPerSecond = options.tokensPerSecond;
        contract_.ceiling.burst = options.tokensPerSecond;
        highestCeiling_ = contract_.ceiling;
        config_.customers[contract_.customer] = contract_;
        for (uint32_t owner : { firstOwner, secondOwner }) {
            config_.nodes[NodeId(owner)] = nodeRecord(owner);
            config_.nodes[NodeId(owner)].servesCallers = false;
            startOwner(owner);
        }
        for (uint32_t id = 1; id <= options.entries; ++id) {
            config_.nodes[NodeId(id)] = nodeRecord(id);
            config_.nodes[NodeId(id)].servesCallers = true;
            entries_[id] = std::make_unique<Entry>(*this, id);
            weights_[id] = 1;
            for (auto& [owner, host] : owners_)
                host->onEntryConnected(NodeId(id));
        }
        assignCeiling(firstOwner);
    }

    [[nodiscard]] Instant now() const { return clock_.now; }

    void run(Duration time)
    {
        for (auto end = clock_.now + time; clock_.now < end;)
            step();
    }

    void setDemand(double demand) { options_.demand = demand; }
    /** Relative number of requests that the entry gets. */
    void setWeight(uint32_t entry, double weight) { weights_[entry] = weight; }

    void setCeiling(double tokensPerSecond, double burst)
    {
        contract_.ceiling.tokensPerSecond = tokensPerSecond;
        contract_.ceiling.burst = burst;
        highestCeiling_.tokensPerSecond = std::max(highestCeiling_.tokensPerSecond, tokensPerSecond);
        highestCeiling_.burst = std::max(highestCeiling_.burst, burst);
        config_.customers[contract_.customer] = contract_;
        publish();
    }

    /** Gives the ceiling to this owner, with a new epoch. The previous owner's lease has ended. */
    void assignCeiling(uint32_t owner)
    {
        config_.pools[PoolId(20)] = { PoolId(20), ceilingPoolName(contract_.customer), PoolKind::Ceiling, "", Epoch(++epoch_), NodeId(owner), Incarnation(1), NodeId() };
        publish();
    }

    /** Replaces the owner's process by a new one without state. */
    void restartOwner(uint32_t owner)
    {
        startOwner(owner);
        for (auto& [id, entry] : entries_) {
            if (!cutLinks_.contains({ id, owner }))
                openLink(id, owner);
        }
    }

    /** Replaces the entry's process by a new one without state. */
    void restartEntry(uint32_t entry)
    {
        for (auto& [owner, host] : owners_)
            host->onEntryDisconnected(NodeId(entry));
        entries_[entry] = std::make_unique<Entry>(*this, entry);
        entries_.at(entry)->apply(config_);
        for (auto& [owner, host] : owners_) {
            if (!cutLinks_.contains({ entry, owner }))
                openLink(entry, owner);
        }
    }

    /** All processes start again without state, and the other owner gets the ceiling. */
    void restartAll()
    {
        for (uint32_t owner : { firstOwner, secondOwner })
            restartOwner(owner);
        for (uint32_t entry = 1; entry <= options_.entries; ++entry)
            restartEntry(entry);
        assignCeiling(secondOwner);
    }

    /** A suspended owner neither runs nor reads. */
    void setSuspended(uint32_t owner, bool isSuspended)
    {
        if (isSuspended) {
            suspended_.try_emplace(owner, clock_.now);
            return;
        }
        if (suspended_.erase(owner) == 0)
            return;
        for (auto& [id, entry] : entries_) {
            if (!closedLinks_.contains({ id, owner }) || cutLinks_.contains({ id, owner }))
                continue;
            owners_.at(owner)->onEntryDisconnected(NodeId(id));
            openLink(id, owner);
        }
    }

    void setLinkCut(uint32_t entry, uint32_t owner, bool isCut)
    {
        if (isCut) {
            cutLinks_.try_emplace({ entry, owner }, clock_.now);
        } else if (cutLinks_.erase({ entry, owner }) > 0) {
            closeLink(entry, owner);
            openLink(entry, owner);
        }
    }

    /** A link that stalls for less than the idle timeout delivers nothing, and stays open. */
    void stallLink(uint32_t entry, uint32_t owner, bool isStalled)
    {
        if (isStalled)
            cutLinks_.try_emplace({ entry, owner }, clock_.now);
        else
            cutLinks_.erase({ entry, owner });
    }

    void setOwnerCut(uint32_t owner, bool isCut)
    {
        for (uint32_t entry = 1; entry <= options_.entries; ++entry)
            setLinkCut(entry, owner, isCut);
    }

    /** What the highest ceiling that was in force allows in a window, with the tolerance. */
    [[nodiscard]] int64_t allowedInWindow() const
    {
        const auto& tolerance = options_.tolerance;
        double regular = highestCeiling_.tokensPerSecond * toSeconds(tolerance.window) + highestCeiling_.burst;
        return static_cast<int64_t>(regular * (1 + tolerance.excessFraction) + tolerance.slack);
    }

    /** Most tokens that were admitted in any window of the tolerance's length. */
    [[nodiscard]] int64_t mostInWindow() const
    {
        int64_t most = 0;
        int64_t sum = 0;
        auto begin = admitted_.begin();
        for (const auto& [at, tokens] : admitted_) {
            sum += tokens;
            for (; begin->first <= at - options_.tolerance.window; ++begin)
                sum -= begin->second;
            most = std::max(most, sum);
        }
        return most;
    }

    [[nodiscard]] int64_t admittedSince(Instant from) const { return sumSince(admitted_, from); }
    [[nodiscard]] int64_t requestedSince(Instant from) const { return sumSince(requested_, from); }

    std::vector<Error> refusals;

private:
    class Transport : public NodeTransport {
    public:
        Transport(CeilingFleet& fleet, uint32_t self)
            : fleet_(fleet)
            , self_(self)
        {
        }

        bool isReachable(NodeId node) override { return !fleet_.isLinkClosed(self_, node.value()); }
        bool postToOwner(NodeId node, MessageType type, std::string body) override
        {
            if (!isReachable(node))
                return false;
            if (!fleet_.doesDeliver(self_, node.value()))
                return true;
            if (type == MessageType::CeilingRefund)
                fleet_.owners_.at(node.value())->onRefund(body);
            else if (type == MessageType::CeilingSync)
                fleet_.owners_.at(node.value())->onSync(NodeId(self_), body);
            return true;
        }
        void postToEntry(NodeId, MessageType, std::string) override { }
        Result<std::string> call(NodeId node, MessageType, std::string body, Duration) override
        {
            if (!fleet_.doesDeliver(self_, node.value()))
                return fail(ErrorKind::Unavailable, "no reply");
            return fleet_.owners_.at(node.value())->onDebit(body);
        }

    private:
        CeilingFleet& fleet_;
        uint32_t self_;
    };

    struct Entry {
        Entry(CeilingFleet& fleet, uint32_t id)
            : transport(fleet, id)
            , client(fleet.loop_, { NodeId(id), fleet.options_.tolerance }, view, transport, fleet.metrics_, fleet.clock_.hook())
        {
        }

        void apply(const ClusterConfig& config)
        {
            HeartbeatReply reply;
            reply.snapshot = config;
            view.apply(reply);
            client.onConfigChange(view.config());
        }

        ClusterView view;
        Transport transport;
        CeilingClient client;
    };

    using TokensAt = std::vector<std::pair<Instant, int64_t>>;

    static int64_t sumSince(const TokensAt& list, Instant from)
    {
        int64_t sum = 0;
        for (const auto& [at, tokens] : list)
            sum += at >= from ? tokens : 0;
        return sum;
    }

    void startOwner(uint32_t id)
    {
        CeilingHostHooks hooks { [this, id] { return !suspended_.contains(id); }, [] {}, clock_.hook() };
        owners_[id] = std::make_unique<CeilingHost>(CeilingHostSettings { NodeId(id), Incarnation(1), options_.tolerance }, metrics_, hooks);
        owners_.at(id)->onConfigChange(config_);
    }

    [[nodiscard]] bool doesDeliver(uint32_t entry, uint32_t owner) const { return !suspended_.contains(owner) && !cutLinks_.contains({ entry, owner }); }

    [[nodiscard]] bool isLinkClosed(uint32_t entry, uint32_t owner) const { return closedLinks_.contains({ entry, owner }); }

    void openLink(uint32_t entry, uint32_t owner)
    {
        closedLinks_.erase({ entry, owner });
        owners_.at(owner)->onEntryConnected(NodeId(entry));
        entries_.at(entry)->client.onOutgoingLinkOpen(NodeId(owner));
    }

    void closeLink(uint32_t entry, uint32_t owner)
    {
        if (closedLinks_.insert({ entry, owner }).second)
            owners_.at(owner)->onEntryDisconnected(NodeId(entry));
    }

    void closeIdleLinks()
    {
        constexpr Duration idleTimeout = std::chrono::milliseconds(600);
        for (const auto& [link, since] : cutLinks_) {
            if (clock_.now - since >= idleTimeout)
                closeLink(link.first, link.second);
        }
        // A suspended owner learns that its entries have closed their links when it runs again.
        for (const auto& [owner, since] : suspended_) {
            if (clock_.now - since < idleTimeout)
                continue;
            for (auto& [id, entry] : entries_)
                closedLinks_.insert({ id, owner });
        }
    }

    void publish()
    {
        config_.version = Version(config_.version.value() + 1);
        for (auto& [id, host] : owners_)
            host->onConfigChange(config_);
        for (auto& [id, entry] : entries_)
            entry->apply(config_);
    }

    uint32_t chooseEntry()
    {
        double total = 0;
        for (const auto& [id, weight] : weights_)
            total += weight;
        double left = random_.unit() * total;
        for (const auto& [id, weight] : weights_) {
            left -= weight;
            if (left < 0)
                return id;
        }
        return weights_.rbegin()->first;
    }

    void step()
    {
        constexpr Duration stepTime = std::chrono::milliseconds(1);
        clock_.now += stepTime;
        closeIdleLinks();
        double requestsPerSecond = options_.demand * options_.tokensPerSecond / static_cast<double>(options_.meanRequestTokens);
        for (double chance = requestsPerSecond * toSeconds(stepTime); chance > 0; chance -= 1) {
            if (random_.chance(std::min(chance, 1.0)))
                request();
        }
    }

    void request()
    {
        constexpr double smallestSize = 0.05;
        constexpr double sizeRange = 1.95;
        auto tokens = static_cast<int64_t>((smallestSize + sizeRange * random_.unit()) * static_cast<double>(options_.meanRequestTokens));
        requested_.emplace_back(clock_.now, tokens);
        auto verdict = entries_.at(chooseEntry())->client.debit(contract_, Tokens(tokens));
        if (verdict.admission)
            admitted_.emplace_back(clock_.now, tokens);
        else
            refusals.push_back(verdict.admission.error());
    }

    Loop& loop_;
    CeilingFleetOptions options_;
    Random random_;
    ManualClock clock_;
    MetricRegistry metrics_;
    Contract contract_;
    Ceiling highestCeiling_;
    ClusterConfig config_;
    uint64_t epoch_ { 0 };
    std::map<uint32_t, std::unique_ptr<CeilingHost>> owners_;
    std::map<uint32_t, std::unique_ptr<Entry>> entries_;
    std::map<uint32_t, double> weights_;
    /** Entry and owner of cut links, and when they were cut. */
    std::map<std::pair<uint32_t, uint32_t>, Instant> cutLinks_;
    std::set<std::pair<uint32_t, uint32_t>> closedLinks_;
    std::map<uint32_t, Instant> suspended_;
    TokensAt requested_;
    TokensAt admitted_;
};

}
