#include "briarhitch/control/RunStore.h"

#include "briarhitch/core/Digest.h"

#include <cassert>

namespace briarhitch {

namespace {

    constexpr uint64_t highSeed = 1;
    constexpr uint64_t lowSeed = 2;

    KeyDigest digestOf(const std::string& key)
    {
        return { stableHash(key, highSeed), stableHash(key, lowSeed) };
    }

    size_t bytesOf(const std::optional<RecordedResponse>& response)
    {
        return response ? response->body.size() + response->contentType.size() : 0;
    }

}

ClaimOutcome RunStore::claim(const ClaimRun& claim, uint64_t maxRecords)
{
    if (const auto* state = findRetired(claim.key))
        return *state == RunState::Done ? ClaimOutcome::Finished : ClaimOutcome::Unknown;
    auto it = runs_.find(claim.key);
    if (it != runs_.end())
        return claimExisting(it->second, claim);
    if (size() >= maxRecords)
        return ClaimOutcome::StoreFull;
    StoredRun run;
    run.record.key = claim.key;
    setClaimed(run, claim);
    addToIndexes(run);
    runs_.emplace(claim.key, std::move(run));
    return ClaimOutcome::Granted;
}

ClaimOutcome RunStore::claimExisting(StoredRun& run, const ClaimRun& claim)
{
    const auto& record = run.record;
    if (record.state == RunState::NotRun) {
        // A claim of an attempt that has already ended is a delayed duplicate. Granted, it would never be finished.
        if (record.attempt == claim.attempt)
            return ClaimOutcome::InProgress;
        removeFromIndexes(run);
        setClaimed(run, claim);
        addToIndexes(run);
        return ClaimOutcome::Granted;
    }
    if (record.digest != claim.digest)
        return ClaimOutcome::Conflict;
    switch (record.state) {
    case RunState::Claimed: {
        // The node sends a claim again when it did not receive the reply.
        bool isResent = record.attempt == claim.attempt && record.node == claim.node && record.nodeIncarnation == claim.nodeIncarnation;
        return isResent ? ClaimOutcome::Granted : ClaimOutcome::InProgress;
    }
    case RunState::Done:
        return ClaimOutcome::Finished;
    case RunState::NotRun:
    case RunState::Unknown:
        break;
    }
    return ClaimOutcome::Unknown;
}

void RunStore::finish(const FinishRun& finish, int64_t timeMs, uint64_t maxResponseBytes)
{
    if (finish.state == RunState::Claimed || findRetired(finish.key))
        return;
    auto it = runs_.find(finish.key);
    if (it == runs_.end()) {
        recordFinishWithoutClaim(finish, timeMs);
        return;
    }
    auto& run = it->second;
    if (run.record.attempt != finish.attempt)
        return;
    bool isLateResponse = run.record.state == RunState::Unknown && finish.state == RunState::Done;
    // After "unknown", a late response is still recorded, but a late "not run" does not release the key:
    // the caller was told that the request may have been executed.
    if (run.record.state != RunState::Claimed && !isLateResponse)
        return;
    removeFromIndexes(run);
    setEnded(run, finish.state, timeMs);
    if (finish.state == RunState::Done)
        setResponse(run, finish.response, maxResponseBytes);
    addToIndexes(run);
}

void RunStore::recordFinishWithoutClaim(const FinishRun& finish, int64_t timeMs)
{
    // The claim may still be in transit. This record keeps it from being granted after its attempt has ended.
    // The record has no digest; the digest is only compared in states in which the key is never executed again.
    if (finish.state != RunState::NotRun)
        return;
    StoredRun run;
    run.record.key = finish.key;
    run.record.attempt = finish.attempt;
    setEnded(run, finish.state, timeMs);
    addToIndexes(run);
    runs_.emplace(finish.key, std::move(run));
}

void RunStore::markUnknown(NodeId node, Incarnation except, int64_t timeMs)
{
    auto it = claimedByNode_.find(node);
    if (it == claimedByNode_.end())
        return;
    auto keys = it->second;
    for (const auto& key : keys) {
        auto& run = runs_.at(key);
        if (run.record.nodeIncarnation == except)
            continue;
        removeFromIndexes(run);
        setEnded(run, RunState::Unknown, timeMs);
        addToIndexes(run);
    }
}

uint32_t RunStore::retire(int64_t endedBeforeMs, uint32_t limit)
{
    uint32_t dropped = 0;
    while (dropped < limit && hasEndedBefore(endedBeforeMs)) {
        auto it = runs_.find(ended_.begin()->second);
        assert(it != runs_.end());
        removeFromIndexes(it->second);
        // A key that was definitely not executed need not be kept.
        if (it->second.record.state != RunState::NotRun) {
            retired_[it->first.customer][digestOf(it->first.idempotencyKey)] = it->second.record.state;
            ++retiredCount_;
        }
        runs_.erase(it);
        ++dropped;
    }
    return dropped;
}

void RunStore::eraseCustomer(CustomerId customer)
{
    auto it = runs_.lower_bound(RunKey { customer, "" });
    while (it != runs_.end() && it->first.customer == customer) {
        removeFromIndexes(it->second);
        it = runs_.erase(it);
    }
    auto retired = retired_.find(customer);
    if (retired == retired_.end())
        return;
    retiredCount_ -= retired->second.size();
    retired_.erase(retired);
}

const StoredRun* RunStore::find(const RunKey& key) const
{
    auto it = runs_.find(key);
    return it == runs_.end() ? nullptr : &it->second;
}

size_t RunStore::claimedCount(CustomerId customer) const
{
    auto it = claimedByCustomer_.find(customer);
    return it == claimedByCustomer_.end() ? 0 : it->second;
}

bool RunStore::hasEndedBefore(int64_t timeMs) const
{
    return !ended_.empty() && ended_.begin()->first < timeMs;
}

std::vector<StoredRun> RunStore::runsOf(CustomerId customer) const
{
    std::vector<StoredRun> result;
    for (auto it = runs_.lower_bound(RunKey { customer, "" }); it != runs_.end() && it->first.customer == customer; ++it)
        result.push_back(it->second);
    return result;
}

void RunStore::forEachRun(const std::function<void(const StoredRun&)>& visit) const
{
    for (const auto& [key, run] : runs_)
        visit(run);
}

void RunStore::forEachRetired(const std::function<void(const RetiredRun&)>& visit) const
{
    for (const auto& [customer, keys] : retired_) {
        for (const auto& [key, state] : keys)
            visit({ customer, key, state });
    }
}

void RunStore::restore(RunStoreSnapshot snapshot)
{
    *this = RunStore();
    for (auto& run : snapshot.runs) {
        addToIndexes(run);
        auto key = run.record.key;
        runs_.emplace(std::move(key), std::move(run));
    }
    for (const auto& run : snapshot.retired)
        retired_[run.customer][run.key] = run.state;
    retiredCount_ = snapshot.retired.size();
}

const RunState* RunStore::findRetired(const RunKey& key) const
{
    auto customer = retired_.find(key.customer);
    if (customer == retired_.end())
        return nullptr;
    auto it = customer->second.find(digestOf(key.idempotencyKey));
    return it == customer->second.end() ? nullptr : &it->second;
}

void RunStore::setClaimed(StoredRun& run, const ClaimRun& claim)
{
    run.record.digest = claim.digest;
    run.record.attempt = claim.attempt;
    run.record.node = claim.node;
    run.record.nodeIncarnation = claim.nodeIncarnation;
    run.record.state = RunState::Claimed;
    run.record.response.reset();
    run.endedAtMs = 0;
}

void RunStore::setEnded(StoredRun& run, RunState state, int64_t timeMs)
{
    run.record.state = state;
    run.endedAtMs = timeMs;
}

void RunStore::setResponse(StoredRun& run, const std::optional<RecordedResponse>& response, uint64_t maxResponseBytes)
{
    bool fits = response && response->body.size() <= maxRecordedBodyBytes && responseBytes_ + bytesOf(response) <= maxResponseBytes;
    if (fits)
        run.record.response = response;
}

void RunStore::removeFromIndexes(const StoredRun& run)
{
    const auto& record = run.record;
    responseBytes_ -= bytesOf(record.response);
    if (record.state != RunState::Claimed) {
        ended_.erase({ run.endedAtMs, record.key });
        return;
    }
    auto byNode = claimedByNode_.find(record.node);
    assert(byNode != claimedByNode_.end());
    byNode->second.erase(record.key);
    if (byNode->second.empty())
        claimedByNode_.erase(byNode);
    auto byCustomer = claimedByCustomer_.find(record.key.customer);
    assert(byCustomer != claimedByCustomer_.end());
    if (--byCustomer->second == 0)
        claimedByCustomer_.erase(byCustomer);
}

void RunStore::addToIndexes(const StoredRun& run)
{
    const auto& record = run.record;
    responseBytes_ += bytesOf(record.response);
    if (record.state != RunState::Claimed) {
        ended_.insert({ run.endedAtMs, record.key });
        return;
    }
    claimedByNode_[record.node].insert(record.key);
    ++claimedByCustomer_[record.key.customer];
}

}
