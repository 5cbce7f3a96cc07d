#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace briarhitch {

/**
 * Forwards TCP connections to a port of this machine and can silently stop doing so: the connections
 * stay open and bytes vanish, as when a path between two VMs is lost. It can also delay bytes, and reset
 * connections between or within messages. Runs in a thread of its own.
 */
class TcpCutter {
public:
    explicit TcpCutter(uint16_t targetPort);
    ~TcpCutter();
    TcpCutter(const TcpCutter&) = delete;
    TcpCutter& operator=(const TcpCutter&) = delete;

    [[nodiscard]] uint16_t port() const;
    /** Cuts the directions of all open connections for good; later connections are forwarded. */
    void cutOpenConnections(bool towardsTarget, bool towardsCaller);
    /** Also cuts these directions of all later connections, until heal(). */
    void cutAll(bool towardsTarget = true, bool towardsCaller = true);
    /** Later connections are forwarded again; those that were cut stay so. */
    void heal();
    /** Holds back what arrives from now on, in both directions; zero ends it. */
    void delay(std::chrono::milliseconds time);
    /** Resets all open connections at both ends. */
    void resetOpenConnections();
    /** Each open connection forwards one half of what it receives next, and is then reset at both ends. */
    void breakOpenConnections();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
