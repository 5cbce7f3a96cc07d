#pragma once

#include "briarhitch/http/HttpServer.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/model/Contract.h"

#include <string>
#include <vector>

namespace briarhitch {

/** A request of an authenticated customer to /v1 or /services. */
struct CallerRequest {
    RequestId id;
    CustomerId customer;
    PoolKind poolKind { PoolKind::Model };
    /** Model name or service name. */
    std::string serves;
    std::string method;
    /** Path with query, as the back end gets it. */
    std::string target;
    /** Headers that are forwarded. */
    HttpHeaders headers;
    SharedBody body;
    /** Whether the caller wants server-sent events. */
    bool isStream { false };
    Tier tier;
    std::string workKindName;
    WorkKindId kind;
    Tokens promptTokens;
    Tokens maxOutputTokens;
    std::vector<uint32_t> prefix;
    /** From arrival to the first token of a model, or to the complete response of a service. */
    Duration deadline { 0 };
    /** From the caller's Idempotency-Key, or derived from the request id. */
    std::string idempotencyKey;
    bool isKeyFromCaller { false };
    bool isIdempotent { false };
    /** Hash of method, path and body; a reused idempotency key must have the same. */
    uint64_t digest { 0 };

    /** Service name as the contract's `repeatable` rules give it. */
    [[nodiscard]] std::string idempotencyRuleService() const { return poolKind == PoolKind::Model ? "model" : serves; }
};

struct CallerDefaults {
    Duration deadline { std::chrono::seconds(30) };
    Duration maxDeadline { std::chrono::seconds(600) };
};

/** Stable id of a kind of work, for example of "harbour-7b/chat/short" or "service/booking/POST". */
WorkKindId workKindOf(const std::string& name);

/** Parses POST /v1/chat/completions or /v1/completions. Errors: BadRequest for an invalid body or header; ModelNotAllowed. */
Result<CallerRequest> parseModelRequest(const HttpRequest& http, const Contract& contract, RequestId id, const CallerDefaults& defaults);
/** Parses any method on /services/NAME/... Errors: NotFound if there is no name; BadRequest for an invalid header. */
Result<CallerRequest> parseServiceRequest(const HttpRequest& http, const Contract& contract, RequestId id, const CallerDefaults& defaults);

}
