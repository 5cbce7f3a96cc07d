#include "entry/ModelStream.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr int okStatus = 200;
    constexpr Duration firstResumeDelay = 20ms;
    constexpr Duration maxResumeDelay = 500ms;
    /** An engine's event holds one token; a larger one is a fault of the engine. */
    constexpr size_t maxEventBytes = 1024 * 1024;

    Duration resumeDelay(uint32_t consecutiveResumes)
    {
        // The first resumption is immediate, because most often only the connection was lost.
        if (consecutiveResumes <= 1)
            return 0ms;
        return std::min<Duration>(maxResumeDelay, firstResumeDelay * (int64_t { 1 } << std::min<uint32_t>(consecutiveResumes - 2, 10)));
    }

}

ModelStream::ModelStream(TargetClient& client, TargetCall call, ModelStreamSettings settings, Instant firstEventDeadline, ClockHook now, SleepHook sleep)
    : client_(client)
    , call_(std::move(call))
    , settings_(settings)
    , firstEventDeadline_(firstEventDeadline)
    , now_(std::move(now))
    , sleep_(std::move(sleep))
{
}

Result<std::shared_ptr<HttpCall>> ModelStream::open()
{
    call_.headerTimeout = readTimeout();
    auto opened = client_.send(call_);
    if (isCancelled_) {
        if (opened)
            (*opened)->cancel();
        return fail(ErrorKind::CallerLeft, "the caller disconnected");
    }
    if (!opened) {
        // Only a request that may have arrived can have a stream to resume; a cancelled one is not resumed.
        if (opened.error().ran == Ran::No || opened.error().kind == ErrorKind::CallerLeft)
            return tl::unexpected(opened.error());
        lossKind_ = opened.error().kind;
        return nullptr;
    }
    if ((*opened)->status() != okStatus)
        return *opened;
    connection_ = *opened;
    lastProgressAt_ = now_();
    return nullptr;
}

Result<std::optional<ServerSentEvent>> ModelStream::next()
{
    for (;;) {
        if (isCancelled_)
            return fail(ErrorKind::CallerLeft, "the caller disconnected");
        if (!readyEvents_.empty()) {
            auto event = std::move(readyEvents_.front());
            readyEvents_.pop_front();
            return std::optional(std::move(event));
        }
        if (hasEnded_)
            return std::optional<ServerSentEvent>();
        auto step = connection_ ? readChunk() : resume();
        if (!step)
            return tl::unexpected(step.error());
    }
}

void ModelStream::cancel()
{
    isCancelled_ = true;
    if (connection_)
        connection_->cancel();
}

Duration ModelStream::readTimeout() const
{
    if (hasFirstEvent_)
        return std::max<Duration>(lastProgressAt_ + settings_.tokenTimeout - now_(), 1ms);
    return std::clamp<Duration>(firstEventDeadline_ - now_(), 1ms, settings_.tokenTimeout);
}

Result<void> ModelStream::readChunk()
{
    bool isStalled = hasFirstEvent_ && now_() >= lastProgressAt_ + settings_.tokenTimeout;
    auto chunk = isStalled ? Result<std::optional<std::string>>(fail(ErrorKind::TargetTimeout, "no new event before the timeout")) : connection_->read(readTimeout());
    // An orderly end without the [DONE] marker also means that events are missing.
    if (!chunk || !*chunk) {
        lossKind_ = chunk ? ErrorKind::TargetFailed : chunk.error().kind;
        dropConnection();
        return {};
    }
    auto events = parser_.feed(**chunk);
    if (parser_.pendingBytes() > maxEventBytes)
        return fail(ErrorKind::TargetFailed, "the engine sent an event of more than 1 MiB");
    return acceptEvents(std::move(events));
}

void ModelStream::dropConnection()
{
    connection_->cancel();
    connection_ = nullptr;
    // The resumed stream sends an incomplete event again.
    parser_.reset();
}

ErrorKind ModelStream::lossKind() const
{
    return lossKind_ == ErrorKind::TargetClosed ? ErrorKind::TargetClosed : ErrorKind::TargetFailed;
}

Result<void> ModelStream::resume()
{
    if (!hasFirstEvent_ && now_() >= firstEventDeadline_)
        return fail(ErrorKind::TargetTimeout, "no first token before the deadline");
    if (hasFirstEvent_ && !lastEventId_)
        return fail(lossKind(), "the connection was lost, and the events have no ids from which to resume");
    // Before the first event, an engine that sends nothing may still be processing the prompt; the deadline bounds that.
    if (hasFirstEvent_ && consecutiveResumes_ >= settings_.maxResumes)
        return fail(ErrorKind::TargetTimeout, "the engine sent no new event on several connections in a row");
    ++resumes_;
    ++consecutiveResumes_;
    sleep_(resumeDelay(consecutiveResumes_));
    return resumeOnce();
}

Result<void> ModelStream::resumeOnce()
{
    lastProgressAt_ = now_();
    auto resumed = client_.resume(call_, lastEventId_, readTimeout());
    if (!resumed) {
        // A header timeout means an unresponsive engine. Other errors mean that it is down, unless they are brief.
        bool isTimeout = resumed.error().kind == ErrorKind::TargetTimeout;
        if (!isTimeout && consecutiveResumes_ >= settings_.maxResumes)
            return fail(lossKind(), "the engine can no longer be reached");
        return {};
    }
    if ((*resumed)->status() != okStatus) {
        (*resumed)->cancel();
        return fail(lossKind(), absl::StrCat("the engine no longer has the stream and responded with status ", (*resumed)->status()));
    }
    connection_ = *resumed;
    lastProgressAt_ = now_();
    return {};
}

Result<void> ModelStream::acceptEvents(std::vector<ServerSentEvent> events)
{
    for (auto& event : events) {
        if (hasEnded_)
            break;
        auto accepted = acceptEvent(std::move(event));
        if (!accepted)
            return accepted;
    }
    return {};
}

Result<void> ModelStream::acceptEvent(ServerSentEvent event)
{
    if (event.id && lastEventId_) {
        if (*event.id <= *lastEventId_)
            return {};
        // A gap would leave events missing in the caller's response without an error.
        if (*event.id != *lastEventId_ + 1)
            return fail(ErrorKind::TargetFailed, absl::StrCat("the engine skipped from event ", *lastEventId_, " to ", *event.id));
    }
    if (event.id)
        lastEventId_ = event.id;
    hasFirstEvent_ = true;
    lastProgressAt_ = now_();
    consecutiveResumes_ = 0;
    hasEnded_ = event.isDoneMarker();
    readyEvents_.push_back(std::move(event));
    return {};
}

}
