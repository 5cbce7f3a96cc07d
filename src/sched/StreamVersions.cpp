#include "briarhitch/sched/StreamVersions.h"

namespace briarhitch {

void StreamVersions::record(const StreamVersion& stream, Instant now)
{
    // A target that names no version may have any.
    if (!stream.stream.isValid() || stream.softwareVersion.empty())
        return;
    tick(now);
    auto [it, isNew] = streams_.try_emplace(stream.stream, Record { stream.softwareVersion, now });
    it->second.recordedAt = now;
    order_.emplace_back(now, stream.stream);
    while (order_.size() > capacity)
        dropOldest();
}

std::optional<std::string> StreamVersions::find(StreamId stream, Instant now) const
{
    auto it = streams_.find(stream);
    if (it == streams_.end() || now - it->second.recordedAt >= retention)
        return std::nullopt;
    return it->second.softwareVersion;
}

void StreamVersions::tick(Instant now)
{
    while (!order_.empty() && now - order_.front().first >= retention)
        dropOldest();
}

std::vector<StreamVersion> StreamVersions::list() const
{
    std::vector<StreamVersion> result;
    result.reserve(streams_.size());
    for (const auto& [stream, record] : streams_)
        result.push_back({ stream, record.softwareVersion });
    return result;
}

void StreamVersions::dropOldest()
{
    auto [recordedAt, stream] = order_.front();
    order_.pop_front();
    auto it = streams_.find(stream);
    if (it != streams_.end() && it->second.recordedAt == recordedAt)
        streams_.erase(it);
}

}
