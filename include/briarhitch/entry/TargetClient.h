#pragma once

#include "briarhitch/core/Ids.h"
#include "briarhitch/http/HttpClient.h"
#include "briarhitch/model/Target.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace briarhitch {

/** What is sent to a target under a grant. */
struct TargetCall {
    Target target;
    AttemptId attempt;
    /** Sent as fencing token. */
    Epoch epoch;
    std::string method;
    std::string path;
    HttpHeaders headers;
    SharedBody body;
    /** May be sent again over another connection. */
    bool isIdempotent { false };
    Duration headerTimeout { std::chrono::seconds(30) };
    /** Called before the first byte is sent, and may cancel the call. */
    std::function<void(const std::shared_ptr<HttpCall>&)> onSending;
};

/**
 * HTTP client for engines and services; send() sends a request to its target at most once. Responses that echo another
 * request's X-Request-Id are discarded, and only connections to targets that echo it are reused.
 */
class TargetClient {
public:
    /** HttpClient::start, or a fake. */
    using StartHook = std::function<Result<std::shared_ptr<HttpCall>>(const HttpCallSettings&)>;

    /** Called with the header of each response to send(), and when its request was sent. */
    using ResponseHook = std::function<void(const TargetCall&, const HttpCall&, Instant requestSentAt)>;

    explicit TargetClient(StartHook start, ResponseHook onResponse = {});

    /** Blocks until the response's header has arrived. The error's `ran` is No only if no byte can have reached the target. */
    Result<std::shared_ptr<HttpCall>> send(const TargetCall& call);
    /** Resumes an engine's stream after the event with this id; from its start if there is none. */
    Result<std::shared_ptr<HttpCall>> resume(const TargetCall& call, std::optional<uint64_t> lastEventId, Duration headerTimeout);
    /** Cancels an engine's stream; true if the engine confirmed that it no longer runs. */
    bool cancelStream(const TargetCall& call);

private:
    StartHook start_;
    ResponseHook onResponse_;
};

}
