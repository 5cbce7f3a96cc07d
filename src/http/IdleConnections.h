#pragma once

#include "briarhitch/runtime/Loop.h"
#include "http/ClientConnection.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

namespace briarhitch {

/** Idle connections of an HTTP client by server. Closes those that the server closed or whose idle time ended. */
class IdleConnections : public std::enable_shared_from_this<IdleConnections> {
public:
    explicit IdleConnections(Loop& loop)
        : loop_(loop)
    {
    }

    /** The connection to this server that was used last; null if there is none that can be used. */
    std::shared_ptr<ClientConnection> acquire(const ServerAddress& address);
    void release(const ServerAddress& address, std::shared_ptr<ClientConnection> connection, Duration idleTime);
    /** False if there is none. */
    bool closeLongestIdle();
    void closeUnless(const std::function<bool(const ServerAddress&)>& mayKeep);
    [[nodiscard]] size_t size() const { return size_; }

private:
    void scheduleSweep();
    void sweep();

    Loop& loop_;
    /** The connection that has been idle longest comes first; no list is empty. */
    std::map<ServerAddress, std::deque<std::shared_ptr<ClientConnection>>> byServer_;
    size_t size_ { 0 };
    bool isSweepScheduled_ { false };
};

}
