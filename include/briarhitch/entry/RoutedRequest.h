#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"
#include "briarhitch/http/HttpClient.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/model/Target.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** A part of a prompt that other requests may share. */
struct PromptSegment {
    uint32_t id { 0 };
    Tokens tokens;
};

/** A caller's request that is served by a route. */
struct RoutedRequest {
    /** The caller's own name for it; targets echo it. */
    std::string callerId;
    std::string host;
    std::string method;
    std::string path;
    /** With the query, as the target gets it. */
    std::string target;
    /** Headers that are passed on unchanged. */
    HttpHeaders headers;
    std::string body;
    /** SHA-256 of the caller's key; empty if there is none. */
    std::string keyHash;
    /** How long the caller waits; none if it did not say. */
    std::optional<Duration> callerTimeout;
    /** Prompt tokens and the most output tokens; none for requests that state no size. */
    std::optional<Tokens> promptTokens;
    Tokens maxOutputTokens;
    /** The caller's estimate of the output. */
    std::optional<Tokens> expectedOutputTokens;
    std::vector<PromptSegment> prefix;
    /** The caller continues a stream after this event. */
    std::optional<uint64_t> lastEventId;
};

/** What one attempt at a target tells the target beside the caller's own headers. */
struct AttemptContext {
    const RoutedRequest& request;
    const Target& target;
    /** Empty for a request without a customer. */
    std::string customer;
    Duration timeLeft;
    /** Continue a stream after this event. */
    std::optional<uint64_t> resumeAfterEventId;
    /** Where the memory of the run that goes on is, as parseMigrationResult() named it; empty for a new run. */
    std::string kvCacheSource;
};

/** What a target said to a call that moves a running generation. */
struct MigrationResult {
    /** The run has stopped at its target, and its memory is there or at the destination. */
    bool hasStopped { false };
    /** The destination has the memory. */
    bool isCacheTransferred { false };
    /** Names the memory for the request that goes on. */
    std::string kvCacheSource;
};

/** What a target says of itself beside its answer to a request. */
struct TargetSignals {
    /** It takes no new work any more; what runs there goes on. */
    bool isDraining { false };
    /** It wants no work from this node for so long; zero: it said nothing of this. */
    Duration pause { 0 };
};

enum class ResponseKind : uint8_t {
    /** The target's answer to this request, a failure included. */
    Valid,
    /** The target did not run the request and never will. */
    NotRun,
    /** Another target has the address; the request was not run. */
    WrongTarget,
    /** Not a sound answer; the request may have run. */
    Invalid,
};

/** How a deployment's targets are spoken to; headers only, no decisions. All hooks must be set. */
struct TargetProtocol {
    std::function<HttpHeaders(const AttemptContext&)> headersFor;
    std::function<ResponseKind(const RoutedRequest&, int status, const HttpHeaders&)> classifyResponse;
    /** Whether an answer belongs to this request or to another one on the same connection. */
    std::function<AnswerOwner(const RoutedRequest&, const HttpHeaders&)> responseOwner;
    /** What the target says of itself beside its answer. */
    std::function<TargetSignals(const HttpHeaders&, int status)> targetSignals;
    /** The call to `from` that stops a running request there and sends its memory to `to`. */
    std::function<HttpCallSettings(const RoutedRequest&, const Target& from, const Target& to)> migrationCall;
    std::function<MigrationResult(const Target& from, int status, const std::string& body)> parseMigrationResult;
    /** Headers of a refusal, among them when to come back. */
    std::function<HttpHeaders(const Error&)> refusalHeaders;
};

}
