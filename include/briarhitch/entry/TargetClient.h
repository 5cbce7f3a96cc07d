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
    std::string body;
    /** A second sending over another connection does no harm. */
    bool isIdempotent { false };
    Duration headerTimeout { std::chrono::seconds(30) };
    /** Gets the call before the first byte is sent, so that a hook can cancel it. */
    std::function<void(const std::shared_ptr<HttpCall>&)> onSending;
};

/**
 * Speaks to engines and services; one call of send() makes at most one attempt at the target. Answers that echo another
 * request's X-Request-Id are skipped, and only connections of targets that echo it are used again.
 */
class TargetClient {
public:
    /** HttpClient::start, or a fake. */
    using StartHook = std::function<Result<std::shared_ptr<HttpCall>>(const HttpCallSettings&)>;

    explicit TargetClient(StartHook start);

    /** Blocks until the answer's header is there. The error's `ran` is No only if no byte can have arrived. */
    Result<std::shared_ptr<HttpCall>> send(const TargetCall& call);
    /** Continues an engine's stream after the event with this id; from its start if there is none. */
    Result<std::shared_ptr<HttpCall>> resume(const TargetCall& call, std::optional<uint64_t> lastEventId, Duration headerTimeout);
    /** Ends an engine's stream; true if the engine confirmed that it does not run any more. */
    bool cancelStream(const TargetCall& call);

private:
    StartHook start_;
};

}
