#include "entry/ModelStream.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr int okStatus = 200;
    constexpr Duration firstResumeDelay = 20ms;
    constexpr Duration maxResumeDelay = 500ms;
    /** An engine's event holds one token; a larger one is a fault. */
    constexpr size_t maxEventBytes = 1024 * 1024;

    Duration resumeDelay(uint32_t resumesInARow)
    {
        // The first resumption is immediate, because most often only the connection was lost.
        if (resumesInARow <= 1)
            return 0ms;
        return std::min<Duration>(maxResumeDelay, firstResumeDelay * (int64_t { 1 } << std::min<uint32_t>(resumesInARow - 2, 10)));
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
        return fail(ErrorKind::CallerLeft, "the caller left");
    }
    if (!opened) {
        // Only a request that may have arrived can have a stream to resume; a cancelled one is not wanted.
        if (opened.error().ran == Ran::No || opened.error().kind == ErrorKind::CallerLeft)
            return tl::unexpected(opened.error());
        return nullptr;
    }
    if ((*opened)->status() != okStatus)
        return *opened;
    connection_ = *opened;
    progressAt_ = now_();
    return nullptr;
}

Result<std::optional<ServerSentEvent>> ModelStream::next()
{
    for (;;) {
        if (isCancelled_)
            return fail(ErrorKind::CallerLeft, "the caller left");
        if (!ready_.empty()) {
            auto event = std::move(ready_.front());
            ready_.pop_front();
            return std::optional(std::move(event));
        }
        if (isOver_)
            return std::optional<ServerSentEvent>();
        auto step = connection_ ? readPart() : resume();
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
    if (hasEvents_)
        return std::max<Duration>(progressAt_ + settings_.tokenTimeout - now_(), 1ms);
    return std::clamp<Duration>(firstEventDeadline_ - now_(), 1ms, settings_.tokenTimeout);
}

Result<void> ModelStream::readPart()
{
    bool isStalled = hasEvents_ && now_() >= progressAt_ + settings_.tokenTimeout;
    auto part = isStalled ? Result<std::optional<std::string>>(fail(ErrorKind::TargetTimeout, "no event in time")) : connection_->read(readTimeout());
    // An orderly end without the end mark also means that events are missing.
    if (!part || !*part) {
        loseConnection();
        return {};
    }
    auto events = splitter_.feed(**part);
    if (splitter_.pendingBytes() > maxEventBytes)
        return fail(ErrorKind::TargetFailed, "the engine sent an event of more than 1 MiB");
    return accept(std::move(events));
}

void ModelStream::loseConnection()
{
    connection_->cancel();
    connection_ = nullptr;
    // The resumed stream repeats an event that was cut off.
    splitter_.reset();
}

Result<void> ModelStream::resume()
{
    if (!hasEvents_ && now_() >= firstEventDeadline_)
        return fail(ErrorKind::TargetTimeout, "no first token before the deadline");
    if (hasEvents_ && !lastEventId_)
        return fail(ErrorKind::TargetFailed, "the connection was lost and the engine numbers no events");
    // Before the first event a silent engine may still compute the prompt; the deadline bounds that.
    if (hasEvents_ && resumesInARow_ >= settings_.maxResumes)
        return fail(ErrorKind::TargetTimeout, "the engine stayed silent on several connections");
    ++resumes_;
    ++resumesInARow_;
    sleep_(resumeDelay(resumesInARow_));
    return resumeOnce();
}

Result<void> ModelStream::resumeOnce()
{
    progressAt_ = now_();
    auto resumed = client_.resume(call_, lastEventId_, readTimeout());
    if (!resumed) {
        // A header that does not come in time is silence; a refused connection is a dead engine, unless it is brief.
        bool isSilent = resumed.error().kind == ErrorKind::TargetTimeout;
        if (!isSilent && resumesInARow_ >= settings_.maxResumes)
            return fail(ErrorKind::TargetFailed, "the engine cannot be reached any more");
        return {};
    }
    if ((*resumed)->status() != okStatus) {
        (*resumed)->cancel();
        return fail(ErrorKind::TargetFailed, absl::StrCat("the engine lost the stream and answered ", (*resumed)->status()));
    }
    connection_ = *resumed;
    progressAt_ = now_();
    return {};
}

Result<void> ModelStream::accept(std::vector<ServerSentEvent> events)
{
    for (auto& event : events) {
        if (isOver_)
            break;
        auto accepted = acceptOne(std::move(event));
        if (!accepted)
            return accepted;
    }
    return {};
}

Result<void> ModelStream::acceptOne(ServerSentEvent event)
{
    if (event.id && lastEventId_) {
        if (*event.id <= *lastEventId_)
            return {};
        // A gap would be a silent hole in the caller's answer.
        if (*event.id != *lastEventId_ + 1)
            return fail(ErrorKind::TargetFailed, absl::StrCat("the engine skipped from event ", *lastEventId_, " to ", *event.id));
    }
    if (event.id)
        lastEventId_ = event.id;
    hasEvents_ = true;
    progressAt_ = now_();
    resumesInARow_ = 0;
    isOver_ = event.isDoneMarker();
    ready_.push_back(std::move(event));
    return {};
}

}
