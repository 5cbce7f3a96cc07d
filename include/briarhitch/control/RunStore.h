#pragma once

#include "briarhitch/control/Commands.h"

#include <absl/container/btree_map.h>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace briarhitch {

/** 128-bit digest that replaces a key whose record is retired. */
struct KeyDigest {
    uint64_t high { 0 };
    uint64_t low { 0 };

    auto operator<=>(const KeyDigest&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(high, low);
    }
};

/** A run record and the time at which its outcome was recorded. */
struct StoredRun {
    RunRecord record;
    /** Wall clock in milliseconds, from the command; zero while the run is claimed. */
    int64_t endedAtMs { 0 };

    bool operator==(const StoredRun&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(record, endedAtMs);
    }
};

/** A run whose response was dropped; its key is still never executed again. */
struct RetiredRun {
    CustomerId customer;
    KeyDigest key;
    RunState state { RunState::Unknown };

    bool operator==(const RetiredRun&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(customer, key, state);
    }
};

/** The content of a RunStore, as read from a snapshot. */
struct RunStoreSnapshot {
    std::vector<StoredRun> runs;
    std::vector<RetiredRun> retired;

    bool operator==(const RunStoreSnapshot&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(runs, retired);
    }
};

inline constexpr size_t maxIdempotencyKeyBytes = 255;

/** The run records of all customers. Deterministic; does no I/O. */
class RunStore {
public:
    /** Decides a claim by the run records alone; the caller must have checked customer and node. */
    ClaimOutcome claim(const ClaimRun& claim, uint64_t maxRecords);
    /** Records the outcome of the attempt that holds the claim; outcomes of other attempts are ignored. */
    void finish(const FinishRun& finish, int64_t timeMs, uint64_t maxResponseBytes);
    /** Marks the claimed runs of a node as unknown, except those of the incarnation `except`. */
    void markUnknown(NodeId node, Incarnation except, int64_t timeMs);
    /** Retires up to `limit` records that ended before the given time, keeping only digests of their keys; returns their number. */
    uint32_t retire(int64_t endedBeforeMs, uint32_t limit);
    /** Removes all records and digests of a customer. */
    void eraseCustomer(CustomerId customer);

    [[nodiscard]] const StoredRun* find(const RunKey& key) const;
    [[nodiscard]] size_t claimedCount(CustomerId customer) const;
    /** Number of records and retired keys. */
    [[nodiscard]] size_t size() const { return runs_.size() + retiredCount_; }
    [[nodiscard]] size_t retiredCount() const { return retiredCount_; }
    [[nodiscard]] uint64_t responseBytes() const { return responseBytes_; }
    /** Whether there is a record that ended before the given time and is not retired yet. */
    [[nodiscard]] bool hasEndedBefore(int64_t timeMs) const;
    /** The customer's records in order of their keys. */
    [[nodiscard]] std::vector<StoredRun> runsOf(CustomerId customer) const;
    /** Visits all records in order of their keys, without copying them. */
    void forEachRun(const std::function<void(const StoredRun&)>& visit) const;
    void forEachRetired(const std::function<void(const RetiredRun&)>& visit) const;
    void restore(RunStoreSnapshot snapshot);

private:
    using RunMap = std::map<RunKey, StoredRun>;

    [[nodiscard]] const RunState* findRetired(const RunKey& key) const;
    ClaimOutcome claimExisting(StoredRun& run, const ClaimRun& claim);
    void recordFinishWithoutClaim(const FinishRun& finish, int64_t timeMs);
    void setClaimed(StoredRun& run, const ClaimRun& claim);
    void setEnded(StoredRun& run, RunState state, int64_t timeMs);
    void setResponse(StoredRun& run, const std::optional<RecordedResponse>& response, uint64_t maxResponseBytes);
    void removeFromIndexes(const StoredRun& run);
    void addToIndexes(const StoredRun& run);

    RunMap runs_;
    std::map<CustomerId, absl::btree_map<KeyDigest, RunState>> retired_;
    size_t retiredCount_ { 0 };
    uint64_t responseBytes_ { 0 };
    /** Keys of the claimed runs of each node. */
    std::map<NodeId, std::set<RunKey>> claimedByNode_;
    std::map<CustomerId, size_t> claimedByCustomer_;
    /** End time and key of all ended runs, in order of their end. */
    std::set<std::pair<int64_t, RunKey>> ended_;
};

}
