#pragma once

#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"

#include <string>
#include <vector>

namespace briarhitch {

/** Steps of closing a customer's account, in order; see docs/design.md 6.4. */
enum class CustomerState : uint8_t {
    Active,
    NoNewWork,
    Drained,
    Exported,
    Erased,
};

/** An amount in both units that a ceiling limits: what was used, or what is left, which is negative if too much was used. */
struct CeilingAmount {
    double requests { 0 };
    double tokens { 0 };

    CeilingAmount& operator+=(const CeilingAmount& other)
    {
        requests += other.requests;
        tokens += other.tokens;
        return *this;
    }
    friend CeilingAmount operator-(const CeilingAmount& amount) { return { -amount.requests, -amount.tokens }; }
    auto operator<=>(const CeilingAmount&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(requests, tokens);
    }
};

/** Limits of one customer across the whole fleet; zero means no limit. */
struct Ceiling {
    double requestsPerSecond { 0 };
    double tokensPerSecond { 0 };
    uint32_t inFlight { 0 };
    /** Capacity of the rate limiter's token bucket, in the unit of the rate; zero means the amount of one second. */
    double burst { 0 };

    /** Capacity of the token bucket of a limit with this rate. */
    [[nodiscard]] double burstFor(double rate) const { return burst > 0 ? burst : rate; }
    auto operator<=>(const Ceiling&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(requestsPerSecond, tokensPerSecond, inFlight, burst);
    }
};

/** Declares calls that are idempotent, so that they may be retried. Requests to models use the service name "model". */
struct IdempotencyRule {
    std::string service;
    /** HTTP method; "*" for any. */
    std::string method;
    std::string pathPrefix;

    bool operator==(const IdempotencyRule&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(service, method, pathPrefix);
    }
};

/** The limits and permissions of one customer. */
struct Contract {
    CustomerId customer;
    std::string name;
    /** Increases by one with each accepted change of this contract. */
    Version version;
    CustomerState state { CustomerState::Active };
    /** The most urgent tier that the customer's requests may have. */
    Tier tier;
    /** Weight among the customers of the same tier; greater than zero. */
    double share { 1 };
    Ceiling ceiling;
    std::vector<IdempotencyRule> idempotentCalls;
    /** Allowed models; empty means all. */
    std::vector<std::string> models;
    /** SHA-256 of each bearer key, in hexadecimal. */
    std::vector<std::string> keyHashes;

    bool operator==(const Contract&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(customer, name, version, state, tier, share, ceiling, idempotentCalls, models, keyHashes);
    }
};

/** Whether the contract declares this call idempotent. */
bool isIdempotent(const Contract& contract, const std::string& service, const std::string& method, const std::string& path);
bool isModelAllowed(const Contract& contract, const std::string& model);

}
