#include "briarhitch/entry/TargetClient.h"

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration cancelTimeout = 1s;
    /** Connections to targets that echo it are kept open; see ResponseOwner. */
    constexpr auto requestIdHeader = "X-Request-Id";
    constexpr int okStatus = 200;
    constexpr int firstRedirectStatus = 300;
    constexpr int notFoundStatus = 404;
    constexpr int goneStatus = 410;

    HttpCallSettings settingsFor(const TargetCall& call)
    {
        HttpCallSettings settings;
        settings.host = call.target.host;
        settings.port = call.target.port;
        auto id = toString(call.attempt);
        settings.responseOwner = [id](const HttpHeaders& headers) {
            auto echoed = findHeader(headers, requestIdHeader);
            if (echoed.empty())
                return ResponseOwner::Unknown;
            return echoed == id ? ResponseOwner::ThisRequest : ResponseOwner::OtherRequest;
        };
        settings.headers.emplace_back(requestIdHeader, id);
        settings.headers.emplace_back("X-Fencing-Token", std::to_string(call.epoch.value()));
        return settings;
    }

    std::string streamPath(const TargetCall& call)
    {
        return "/v1/streams/" + toString(call.attempt);
    }

}

TargetClient::TargetClient(StartHook start, ResponseHook onResponse)
    : start_(std::move(start))
    , onResponse_(std::move(onResponse))
{
}

Result<std::shared_ptr<HttpCall>> TargetClient::send(const TargetCall& call)
{
    auto settings = settingsFor(call);
    settings.method = call.method;
    settings.target = call.path;
    settings.headers.insert(settings.headers.end(), call.headers.begin(), call.headers.end());
    settings.body = call.body;
    settings.headerTimeout = call.headerTimeout;
    // The target may have closed a kept connection, and then it is unknown whether the call ran.
    // The HTTP client sends a GET again in that case, which would send it to this target twice.
    settings.isReuseAllowed = call.isIdempotent && call.method != "GET";
    settings.onSending = call.onSending;
    auto sentAt = BootClock::now();
    auto response = start_(settings);
    if (response && onResponse_)
        onResponse_(call, **response, sentAt);
    return response;
}

Result<std::shared_ptr<HttpCall>> TargetClient::resume(const TargetCall& call, std::optional<uint64_t> lastEventId, Duration headerTimeout)
{
    auto settings = settingsFor(call);
    settings.target = streamPath(call);
    if (lastEventId)
        settings.headers.emplace_back("Last-Event-ID", std::to_string(*lastEventId));
    settings.headerTimeout = headerTimeout;
    // Kept connections to the same engine may have been lost together with this one.
    settings.isReuseAllowed = false;
    return start_(settings);
}

bool TargetClient::cancelStream(const TargetCall& call)
{
    auto settings = settingsFor(call);
    settings.method = "DELETE";
    settings.target = streamPath(call);
    settings.headerTimeout = cancelTimeout;
    settings.isReuseAllowed = false;
    auto response = start_(settings);
    if (!response)
        return false;
    auto status = (*response)->status();
    (void)(*response)->readAll(cancelTimeout);
    bool isDone = status >= okStatus && status < firstRedirectStatus;
    return isDone || status == notFoundStatus || status == goneStatus;
}

}
