#pragma once

#include "briarhitch/http/HttpServer.h"
#include "briarhitch/model/ClusterConfig.h"
#include "briarhitch/model/Contract.h"

#include <string>
#include <vector>

namespace briarhitch {

/** One call of an authenticated customer. */
struct CallerRequest {
    RequestId id;
    CustomerId customer;
    PoolKind poolKind { PoolKind::Model };
    /** Model name or service name. */
    std::string serves;
    std::string method;
    /** Path with query, as the target gets it. */
    std::string target;
    /** Headers that are passed on. */
    HttpHeaders headers;
    std::string body;
    /** Whether the caller wants server-sent events. */
    bool isStream { false };
    Tier tier;
    std::string workKindName;
    WorkKindId kind;
    Tokens promptTokens;
    Tokens maxOutputTokens;
    std::vector<uint32_t> prefix;
    /** To the first token of model work, or the whole answer of a service. */
    Duration deadline { 0 };
    /** The caller's key, or one derived from the request id. */
    std::string idempotencyKey;
    bool isKeyFromCaller { false };
    bool isIdempotent { false };
    /** Of method, path and body. */
    uint64_t digest { 0 };

    /** Service name as repeat rules give it. */
    [[nodiscard]] std::string retryRuleService() const { return poolKind == PoolKind::Model ? "model" : serves; }
};

struct CallerDefaults {
    Duration deadline { std::chrono::seconds(30) };
    Duration maxDeadline { std::chrono::seconds(600) };
};

/** Stable id of a kind of work, for example of "harbour-7b/chat/short" or "service/booking/POST". */
WorkKindId workKindOf(const std::string& name);

/** POST /v1/chat/completions or /v1/completions. BadRequest if the body is not such a request; ModelNotAllowed. */
Result<CallerRequest> parseModelRequest(const HttpRequest& http, const Contract& contract, RequestId id, const CallerDefaults& defaults);
/** Any method on /services/NAME/...; NotFound if there is no name. */
Result<CallerRequest> parseServiceRequest(const HttpRequest& http, const Contract& contract, RequestId id, const CallerDefaults& defaults);

}
