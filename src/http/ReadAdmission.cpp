#include "http/ReadAdmission.h"

#include <algorithm>

namespace briarhitch {

ReadAdmission::ReadAdmission(const ReadAdmissionSettings& settings)
    : settings_(settings)
{
}

HolderId ReadAdmission::add(Instant now)
{
    Holder holder;
    holder.since = now;
    holder.windowStart = now;
    holders_.emplace(++lastId_, holder);
    return lastId_;
}

void ReadAdmission::remove(HolderId holder)
{
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), holder), waiting_.end());
    holders_.erase(holder);
}

void ReadAdmission::addHeld(HolderId holder, size_t bytes)
{
    holders_.at(holder).heldBytes += bytes;
}

void ReadAdmission::forgetHeld(HolderId holder)
{
    holders_.at(holder).heldBytes = 0;
}

void ReadAdmission::recordProgress(HolderId id, size_t bytes, Instant now)
{
    auto& holder = holders_.at(id);
    holder.movedBytes += bytes;
    auto elapsed = now - holder.windowStart;
    if (elapsed >= settings_.progressWindow) {
        // A window without any byte may lie between.
        holder.lastWindowBytes = elapsed >= 2 * settings_.progressWindow ? 0 : holder.windowBytes;
        holder.windowStart = now;
        holder.windowBytes = 0;
    }
    holder.windowBytes += bytes;
}

bool ReadAdmission::isNext(HolderId holder) const
{
    return waiting_.empty() || waiting_.front() == holder;
}

ReadDecision ReadAdmission::decide(HolderId id, bool hasRoom, bool isSmall, Instant now)
{
    auto& holder = holders_.at(id);
    if (hasRoom) {
        stopWaiting(id, now);
        return ReadDecision::Proceed;
    }
    if (!holder.waitsSince) {
        holder.waitsSince = now;
        if (!isSmall)
            waiting_.push_back(id);
    }
    if (now - *holder.waitsSince < settings_.maxWait)
        return ReadDecision::Wait;
    stopWaiting(id, now);
    return ReadDecision::Refuse;
}

Duration ReadAdmission::timeLeft(HolderId id, Duration allowed, Instant now) const
{
    const auto& holder = holders_.at(id);
    auto earned = std::chrono::milliseconds(holder.movedBytes * 1000 / settings_.minBytesPerSecond);
    return std::max<Duration>(holder.since + allowed + earned - now, Duration::zero());
}

std::optional<HolderId> ReadAdmission::victim(HolderId asking, Instant now) const
{
    std::optional<HolderId> worst;
    double worstCost = 0;
    for (const auto& [id, holder] : holders_) {
        if (id == asking || holder.heldBytes == 0 || holder.waitsSince || !standsStill(holder, now))
            continue;
        double cost = static_cast<double>(holder.heldBytes) * toSeconds(now - holder.since);
        if (cost > worstCost) {
            worst = id;
            worstCost = cost;
        }
    }
    return worst;
}

bool ReadAdmission::standsStill(const Holder& holder, Instant now) const
{
    auto elapsed = now - holder.windowStart;
    if (elapsed >= settings_.progressWindow)
        return elapsed >= 2 * settings_.progressWindow || holder.windowBytes < settings_.minWindowBytes;
    return holder.lastWindowBytes < settings_.minWindowBytes;
}

void ReadAdmission::stopWaiting(HolderId id, Instant now)
{
    auto& holder = holders_.at(id);
    if (!holder.waitsSince)
        return;
    // The process did not read meanwhile, so the time is not the caller's.
    holder.since += now - *holder.waitsSince;
    holder.windowStart = now;
    holder.windowBytes = 0;
    holder.lastWindowBytes = SIZE_MAX;
    holder.waitsSince.reset();
    waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), id), waiting_.end());
}

}
