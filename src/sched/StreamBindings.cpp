#include "briarhitch/sched/StreamBindings.h"

#include <algorithm>

namespace briarhitch {

namespace {

    /** Recordings that later ones have replaced are removed when there are more of them than this times the streams. */
    constexpr size_t maxRecordingsPerStream = 2;

}

void StreamBindings::record(const StreamBinding& stream, Instant now)
{
    if (!stream.stream.isValid() || (stream.softwareVersion.empty() && stream.service.empty()))
        return;
    tick(now);
    auto [it, isNew] = streams_.try_emplace(stream.stream);
    if (isNew)
        it->second.service = serviceIndex(stream);
    it->second.recordedAt = now;
    order_.emplace_back(now, stream.stream);
    while (streams_.size() > capacity_)
        forgetOldest();
    if (order_.size() > maxRecordingsPerStream * capacity_)
        std::erase_if(order_, [this](const auto& recording) { return !isLast(recording.first, recording.second); });
}

std::optional<StreamBinding> StreamBindings::find(StreamId stream, Instant now) const
{
    auto it = streams_.find(stream);
    if (it == streams_.end() || now - it->second.recordedAt >= retention)
        return std::nullopt;
    return bindingOf(stream, it->second);
}

void StreamBindings::tick(Instant now)
{
    while (!order_.empty() && now - order_.front().first >= retention)
        forgetOldest();
}

void StreamBindings::forEach(const std::function<void(Instant, const StreamBinding&)>& visit) const
{
    for (const auto& [recordedAt, stream] : order_) {
        if (isLast(recordedAt, stream))
            visit(recordedAt, bindingOf(stream, streams_.at(stream)));
    }
}

std::vector<StreamBinding> StreamBindings::list() const
{
    std::vector<StreamBinding> result;
    result.reserve(streams_.size());
    for (const auto& [stream, record] : streams_)
        result.push_back(bindingOf(stream, record));
    return result;
}

uint32_t StreamBindings::serviceIndex(const StreamBinding& binding)
{
    ServiceVersion service { binding.service, binding.softwareVersion };
    auto it = std::find(services_.begin(), services_.end(), service);
    if (it == services_.end())
        it = services_.insert(services_.end(), std::move(service));
    return static_cast<uint32_t>(it - services_.begin());
}

StreamBinding StreamBindings::bindingOf(StreamId stream, const Record& record) const
{
    const auto& [service, softwareVersion] = services_[record.service];
    return { stream, softwareVersion, service };
}

bool StreamBindings::isLast(Instant recordedAt, StreamId stream) const
{
    auto it = streams_.find(stream);
    return it != streams_.end() && it->second.recordedAt == recordedAt;
}

void StreamBindings::forgetOldest()
{
    auto oldest = order_.front().first;
    bool isOnlyTime = oldest == order_.back().first;
    do {
        if (isLast(oldest, order_.front().second))
            streams_.erase(order_.front().second);
        order_.pop_front();
    } while (!isOnlyTime && order_.front().first == oldest);
}

}
