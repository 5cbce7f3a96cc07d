#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Random.h"
#include "briarhitch/entry/ControlClient.h"

#include <array>
#include <string>
#include <vector>

namespace briarhitch {

/** What a generated request asks for. */
enum class LoadKind : uint8_t {
    /** Streamed chat completion. */
    Stream,
    /** Whole chat completion. */
    Whole,
    /** Short chat completion in the least urgent tier, as for photo tags. */
    Tag,
    /** Idempotent lookup at the service. */
    Status,
    /** Charge at the service, which must run at most once. */
    Charge,
};
inline constexpr size_t loadKindCount = 5;

std::string_view toString(LoadKind kind);

struct LoadCustomer {
    std::string name;
    std::string key;
    /** Tier of the customer's contract; goodput is counted by it. */
    Tier tier;
    /** Part of the whole rate, relative to the other customers. */
    double weight { 1 };
    /** Relative frequency of each kind. */
    std::array<double, loadKindCount> mix {};
};

struct LoadPlan {
    std::vector<HostPort> entries;
    std::vector<LoadCustomer> customers;
    std::string model;
    std::string service;
    uint64_t seed { 1 };
    /** Mean arrivals per second over all customers. */
    double rate { 50 };
    /** Requests that arrive at one moment; 1 gives Poisson arrivals. */
    uint64_t burst { 1 };
    uint64_t maxRequests { 1000 };
    Duration maxTime { std::chrono::seconds(10) };
    /** Arrivals beyond this are counted as skipped, so that the generator's memory stays bounded. */
    size_t maxInFlight { 2000 };
    Duration deadline { std::chrono::seconds(30) };
    /** Bound on a whole answer. */
    Duration timeout { std::chrono::seconds(60) };
    int64_t shortestPrompt { 20 };
    int64_t longestPrompt { 2000 };
    int64_t maxTokens { 64 };
    /** Further sendings of a charge with the same key after its answer was lost. */
    int chargeResends { 3 };
    /** A JSON line for each request; none if empty. */
    std::string journalPath;
};

/** Reads {"customers": [{"name", "key", "tier", "weight", "mix": {KIND: weight}}]}. */
Result<std::vector<LoadCustomer>> readCustomers(const std::string& path);
/** "HOST:PORT,HOST:PORT". */
Result<std::vector<HostPort>> parseEntries(const std::string& text);
/** Index of a random element in proportion to the weights. */
size_t pickWeighted(const std::vector<double>& weights, Random& random);

}
