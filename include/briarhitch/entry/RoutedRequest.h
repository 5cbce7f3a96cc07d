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

/** A segment of a prompt that other requests may have in common. */
struct PromptSegment {
    PromptPartId id;
    Tokens tokens;
};

/** A caller's request to a route of the routing document. */
struct RoutedRequest {
    /** Id chosen by the caller; targets echo it in their responses. */
    std::string callerId;
    std::string host;
    std::string method;
    std::string path;
    /** Path with query, as the back end gets it. */
    std::string target;
    /** Headers that are forwarded unchanged. */
    HttpHeaders headers;
    SharedBody body;
    /** SHA-256 of the caller's API key; empty if it sent none. */
    std::string keyHash;
    /** How long the caller waits for the response; none if it did not say. */
    std::optional<Duration> callerTimeout;
    /** Prompt size and output limit; none for requests that state no size. */
    std::optional<Tokens> promptTokens;
    Tokens maxOutputTokens;
    /** The caller's estimate of the output size. */
    std::optional<Tokens> expectedOutputTokens;
    std::vector<PromptSegment> prefix;
    /** The caller resumes a stream after this event. */
    std::optional<uint64_t> lastEventId;
    /** The caller's id of the request that brought the first event of the stream that it resumes; empty if it names none. */
    std::string resumesCallerId;
};

/** What an attempt tells the target in headers, in addition to the caller's own. */
struct AttemptContext {
    const RoutedRequest& request;
    const Target& target;
    /** Empty for a request without a customer. */
    std::string customer;
    Duration timeLeft;
    /** Set to resume a stream after this event. */
    std::optional<uint64_t> resumeAfterEventId;
    /** Where the KV cache of the generation to resume is, as parseMigrationResult() gave it; empty for a new generation. */
    std::string kvCacheSource;
};

/** What a migration call did to the generation at its source. */
enum class GenerationState : uint8_t {
    /** It goes on as if there had been no call, or had ended before. */
    Running,
    /** It has stopped, and its KV cache is at the source or at the destination. */
    Stopped,
    /** The call was sent, and no answer says what it did. */
    Unknown,
};

/** A target's response to the call that migrates a running generation to another target. */
struct MigrationResult {
    GenerationState state { GenerationState::Unknown };
    /** The destination has the KV cache. */
    bool isCacheTransferred { false };
    /** Identifies the KV cache to the target that resumes the generation. */
    std::string kvCacheSource {};
};

/** State that a target reports in the headers of its responses. */
struct TargetSignals {
    /** It accepts no new requests; running ones continue. */
    bool isDraining { false };
    /** It wants no requests from this node for this long; zero if it did not ask for a pause. */
    Duration pause { 0 };
    /** Requests that it accepts from all nodes together; none if it names no limit. */
    std::optional<RequestRate> rateLimit;
    /** False if it names a limit that cannot be read. */
    bool isRateLimitReadable { true };
};

enum class ResponseKind : uint8_t {
    /** The target's response to this request, which may report a failure. */
    Valid,
    /** The target did not run the request and never will. */
    NotRun,
    /** Another target now has the address; it did not run the request. */
    WrongTarget,
    /** Not a valid response to this request, which may have run. */
    Invalid,
};

/**
 * Protocol between this node and a deployment's targets: builds and reads headers, makes no scheduling decisions. All
 * hooks must be set.
 */
struct TargetProtocol {
    std::function<HttpHeaders(const AttemptContext&)> headersFor;
    std::function<ResponseKind(const RoutedRequest&, int status, const HttpHeaders&)> classifyResponse;
    /** Whether a response belongs to this request or to another one on the same connection. */
    std::function<ResponseOwner(const RoutedRequest&, const HttpHeaders&)> responseOwner;
    /** State that the target reports in the headers of a response. */
    std::function<TargetSignals(const HttpHeaders&, int status)> targetSignals;
    /** The call to `from` that stops a running generation there and transfers its KV cache to `to`. */
    std::function<HttpCallSettings(const RoutedRequest&, const Target& from, const Target& to)> migrationCall;
    std::function<MigrationResult(const Target& from, int status, const std::string& body)> parseMigrationResult;
    /** Headers of an error response, including when to retry. */
    std::function<HttpHeaders(const Error&)> refusalHeaders;
};

}
