#include "briarhitch/core/Digest.h"
#include "entry/RoutedRequestRun.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** Whether the request names the one that began its stream. */
    bool continuesNamedStream(const RoutedRequest& request)
    {
        return request.lastEventId && !request.resumesCallerId.empty();
    }

    /** Of the stream that the request begins or continues; invalid if callers have no name for it. */
    StreamId streamIdOf(const RoutedRequest& request, CustomerId customer, RequestDigest digest)
    {
        const auto& name = continuesNamedStream(request) ? request.resumesCallerId : request.callerId;
        if (name.empty())
            return {};
        // A caller without a customer could name the request of another one, but hardly repeats its body.
        auto scope = customer.isValid() ? uint64_t { customer.value() } : digest.value();
        return StreamId(stableHash(name, scope));
    }

    /** 0 to 1, evenly spread over the streams. */
    double fractionOf(StreamId stream)
    {
        constexpr double hashRange = 0x1.0p64;
        return static_cast<double>(stream.value()) / hashRange;
    }

}

Result<void> RoutedRequestRun::selectService()
{
    if (route_->kind == RouteKind::Stream)
        streamId_ = streamIdOf(request_, contract_ ? contract_->customer : CustomerId(), digest_);
    // The weights may have changed since the stream began. While it is not recorded, all of its requests draw the same service as
    // long as the weights stay.
    auto name = adoptStreamBinding();
    if (name.empty())
        name = chooseService(*route_, streamId_.isValid() ? fractionOf(streamId_) : runner_.randomFraction());
    bool isInRoute = std::any_of(route_->services.begin(), route_->services.end(), [&](const WeightedService& service) { return service.service == name; });
    if (!isInRoute)
        return fail(ErrorKind::UnknownStream, "the service that began the stream does not serve its route any more");
    service_ = routes_->findService(name);
    return {};
}

std::string RoutedRequestRun::adoptStreamBinding()
{
    // Without a record, only the sole service of a route can have begun the stream.
    bool isServiceCertain = route_->services.size() == 1;
    maySelectSoleVersion_ = isServiceCertain;
    if (!streamId_.isValid() || !continuesNamedStream(request_))
        return {};
    auto lookup = runner_.pools.findStream(streamId_, firstEventDeadline_);
    bool isVersionKnown = lookup.binding && !lookup.binding->softwareVersion.empty();
    if (isVersionKnown)
        softwareVersion_ = lookup.binding->softwareVersion;
    maySelectSoleVersion_ = lookup.isCertain && !isVersionKnown && (lookup.binding || isServiceCertain);
    recordEvent("stream looked up", {}, { { "known", lookup.binding ? "yes" : lookup.isCertain ? "no"
                                                                                               : "undecided" },
                                            { "service", lookup.binding ? lookup.binding->service : "" }, { "software_version", softwareVersion_.value_or("") } });
    return lookup.binding ? lookup.binding->service : std::string();
}

void RoutedRequestRun::addStreamTo(GrantRequest& grantRequest) const
{
    // Of a stream that began at a target without a named version, as little is known as of one that nobody saw begin.
    bool isVersionNamed = softwareVersion_ && !softwareVersion_->empty();
    if (isVersionNamed)
        grantRequest.softwareVersion = softwareVersion_;
    else if (softwareVersion_ || lastEventId_)
        grantRequest.continuedStream = streamId_;
    // A stream that began in this answer began at this service.
    grantRequest.maySelectSoleVersion = maySelectSoleVersion_ || softwareVersion_;
    grantRequest.streamClaim = streamClaim();
}

StreamBinding RoutedRequestRun::streamBinding() const
{
    return { route_->isResumable ? streamId_ : StreamId(), softwareVersion_.value_or(""), service_->name };
}

StreamClaim RoutedRequestRun::streamClaim() const
{
    if (route_->kind != RouteKind::Stream || !route_->isResumable)
        return {};
    return { streamId_, continuesNamedStream(request_), clampMs(now() - startedAt_) };
}

}
