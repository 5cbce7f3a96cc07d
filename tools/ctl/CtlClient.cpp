#include "ctl/CtlClient.h"

#include "briarhitch/runtime/Loop.h"

#include <absl/strings/numbers.h>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr int maxRedirects = 3;
    constexpr int temporaryRedirect = 307;
    constexpr int serviceUnavailable = 503;
    constexpr Duration roundPause = 300ms;
    // Added to the time that the server may wait for a change to be in force. A voter that is suspended accepts
    // connections and never answers, so the next one should be asked soon.
    constexpr Duration answerSlack = 2s;

    Result<HttpCallSettings> addressed(const std::string& address)
    {
        HttpCallSettings call;
        auto colon = address.rfind(':');
        int port = 0;
        bool good = colon != std::string::npos && colon > 0 && absl::SimpleAtoi(address.substr(colon + 1), &port) && port > 0 && port <= UINT16_MAX;
        if (!good)
            return fail(ErrorKind::BadRequest, "found address '" + address + "', allowed is HOST:PORT");
        call.host = address.substr(0, colon);
        call.port = static_cast<uint16_t>(port);
        return call;
    }

    /** HOST:PORT of "http://HOST:PORT/path". */
    std::string addressOf(std::string_view location)
    {
        constexpr std::string_view scheme = "http://";
        if (!location.starts_with(scheme))
            return {};
        location.remove_prefix(scheme.size());
        return std::string(location.substr(0, location.find('/')));
    }

    /** Answers that another voter, or the same one a little later, may answer better. */
    bool isWorthRetrying(const HttpResponse& answer)
    {
        bool noLeader = answer.body.find("\"no_quorum\"") != std::string::npos || answer.body.find("\"not_leader\"") != std::string::npos;
        return answer.status == temporaryRedirect || (answer.status == serviceUnavailable && noLeader);
    }

}

CtlClient::CtlClient(Loop& loop, const CtlOptions& options)
    : loop_(loop)
    , options_(options)
    , client_(loop)
{
}

Result<HttpResponse> CtlClient::sendTo(const std::string& address, const std::string& method, const std::string& target, const std::string& body)
{
    auto call = addressed(address);
    if (!call)
        return tl::unexpected(call.error());
    call->method = method;
    call->target = target;
    call->body = body;
    call->headerTimeout = method == "GET" ? answerSlack : fromSeconds(options_.waitSeconds) + answerSlack;
    if (!options_.operatorKey.empty())
        call->headers.emplace_back("Authorization", "Bearer " + options_.operatorKey);
    if (!body.empty())
        call->headers.emplace_back("Content-Type", "application/json");
    return fetch(client_, *call);
}

Result<HttpResponse> CtlClient::followLeader(std::string address, const std::string& method, const std::string& target, const std::string& body)
{
    for (int redirects = 0;; ++redirects) {
        auto answer = sendTo(address, method, target, body);
        if (answer && !isWorthRetrying(*answer))
            lastAnswered_ = address;
        if (!answer || answer->status != temporaryRedirect || redirects == maxRedirects)
            return answer;
        address = addressOf(findHeader(answer->headers, "Location"));
        if (address.empty())
            return answer;
    }
}

Result<HttpResponse> CtlClient::send(const std::string& method, const std::string& target, const std::string& body)
{
    Instant deadline = BootClock::now() + fromSeconds(options_.timeoutSeconds);
    Result<HttpResponse> last = fail(ErrorKind::Unavailable, "no server address is given");
    auto servers = options_.servers;
    // A change follows a question for the present version; a voter that is suspended need not be waited for twice.
    if (!lastAnswered_.empty())
        servers.insert(servers.begin(), lastAnswered_);
    while (!servers.empty()) {
        for (const auto& server : servers) {
            auto answer = followLeader(server, method, target, body);
            if (answer && !isWorthRetrying(*answer))
                return answer;
            if (!answer && answer.error().kind == ErrorKind::BadRequest)
                return answer;
            // An answer tells more than a connection that failed.
            if (answer || !last)
                last = std::move(answer);
        }
        if (BootClock::now() >= deadline)
            break;
        sleepFor(loop_, roundPause);
    }
    return last;
}

}
