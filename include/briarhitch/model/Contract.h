#pragma once

#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"

#include <string>
#include <vector>

namespace briarhitch {

/** Steps of closing a customer, in order; see docs/design.md 6.4. */
enum class CustomerState : uint8_t {
    Active,
    NoNewWork,
    Drained,
    Exported,
    Erased,
};

/** Upper limits of one customer over the whole fleet; zero means no limit. */
struct Ceiling {
    double requestsPerSecond { 0 };
    double tokensPerSecond { 0 };
    uint32_t inFlight { 0 };
    /** Saved up by an idle customer, in the unit of the rate; zero means what one second brings. */
    double burst { 0 };

    auto operator<=>(const Ceiling&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(requestsPerSecond, tokensPerSecond, inFlight, burst);
    }
};

/** Names calls that are idempotent and may be sent again. Model work uses the service name "model". */
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

/** What one customer may do; every limit that the customer meets follows from it. */
struct Contract {
    CustomerId customer;
    std::string name;
    /** Rises by one with each accepted change of this contract. */
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

/** Whether the contract names this call as idempotent. */
bool isIdempotent(const Contract& contract, const std::string& service, const std::string& method, const std::string& path);
bool isModelAllowed(const Contract& contract, const std::string& model);

}
