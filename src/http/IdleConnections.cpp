#include "http/IdleConnections.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t maxIdleConnectionsPerServer = 64;
    /** A closed connection keeps a descriptor for at most this time; a sweep costs one system call a connection. */
    constexpr Duration sweepInterval = 500ms;

}

std::shared_ptr<ClientConnection> IdleConnections::acquire(const ServerAddress& address)
{
    auto entry = byServer_.find(address);
    if (entry == byServer_.end())
        return nullptr;
    auto& idle = entry->second;
    std::shared_ptr<ClientConnection> usable;
    while (!usable && !idle.empty()) {
        auto connection = std::move(idle.back());
        idle.pop_back();
        --size_;
        if (BootClock::now() < connection->idleUntil && connection->isUsable())
            usable = std::move(connection);
        else
            connection->close();
    }
    if (idle.empty())
        byServer_.erase(entry);
    return usable;
}

void IdleConnections::release(const ServerAddress& address, std::shared_ptr<ClientConnection> connection, Duration idleTime)
{
    auto entry = byServer_.find(address);
    bool isFull = entry != byServer_.end() && entry->second.size() >= maxIdleConnectionsPerServer;
    if (isFull || idleTime <= Duration::zero() || connection->buffer.size() > 0) {
        connection->close();
        return;
    }
    connection->idleSince = BootClock::now();
    connection->idleUntil = connection->idleSince + idleTime;
    byServer_[address].push_back(std::move(connection));
    ++size_;
    scheduleSweep();
}

bool IdleConnections::closeLongestIdle()
{
    auto longest = std::min_element(byServer_.begin(), byServer_.end(), [](const auto& a, const auto& b) { return a.second.front()->idleSince < b.second.front()->idleSince; });
    if (longest == byServer_.end())
        return false;
    longest->second.front()->close();
    longest->second.pop_front();
    --size_;
    if (longest->second.empty())
        byServer_.erase(longest);
    return true;
}

void IdleConnections::closeUnless(const std::function<bool(const ServerAddress&)>& mayKeep)
{
    std::erase_if(byServer_, [&](const auto& entry) {
        if (mayKeep(entry.first))
            return false;
        for (const auto& connection : entry.second)
            connection->close();
        size_ -= entry.second.size();
        return true;
    });
}

void IdleConnections::scheduleSweep()
{
    if (std::exchange(isSweepScheduled_, true))
        return;
    loop_.after(sweepInterval, [weak = weak_from_this()] {
        if (auto self = weak.lock())
            self->sweep();
    });
}

void IdleConnections::sweep()
{
    isSweepScheduled_ = false;
    auto now = BootClock::now();
    for (auto entry = byServer_.begin(); entry != byServer_.end();) {
        size_ -= std::erase_if(entry->second, [now](const auto& connection) {
            bool isKept = now < connection->idleUntil && connection->isUsable();
            if (!isKept)
                connection->close();
            return !isKept;
        });
        entry = entry->second.empty() ? byServer_.erase(entry) : std::next(entry);
    }
    if (size_ > 0)
        scheduleSweep();
}

}
