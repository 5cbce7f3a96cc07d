#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/wire/Messages.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace briarhitch {

class Loop;
class LinkConnection;

enum class LinkRole : uint8_t {
    Control = 1,
    Entry = 2,
    Tool = 3,
};

/** Identity that a process authenticates with the fleet key when a link opens. */
struct LinkIdentity {
    LinkRole role { LinkRole::Tool };
    NodeId node;
    Incarnation incarnation;

    bool operator==(const LinkIdentity&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(role, node, incarnation);
    }
};

/** The remote process of an open link. */
struct Peer {
    LinkId link;
    LinkIdentity identity;
};

struct LinkSettings {
    /** Shared secret of the fleet; at least 16 bytes. */
    std::string fleetKey;
    LinkIdentity identity;
    /** A heartbeat is sent when nothing else was sent for this long. */
    Duration heartbeatInterval { std::chrono::milliseconds(500) };
    /** A link is closed when nothing has arrived on it for this long. */
    Duration idleTimeout { std::chrono::seconds(2) };
};

/** Callbacks on the loop's thread; each may be empty. */
struct LinkHooks {
    /** Runs in its own fiber; the result is sent back as the reply. */
    std::function<Result<std::string>(const Peer&, MessageType, std::string_view body)> onRequest;
    /** Runs in the link's reading fiber, so it must not block; messages arrive in order. */
    std::function<void(const Peer&, MessageType, std::string_view body)> onPost;
    std::function<void(const Peer&)> onOpen;
    std::function<void(const Peer&)> onClosed;
};

/** Traffic of this process over all links, without TCP and IP headers. */
struct LinkTraffic {
    uint64_t bytesSent { 0 };
    uint64_t bytesReceived { 0 };
    uint64_t framesSent { 0 };
    uint64_t framesReceived { 0 };
};
const LinkTraffic& linkTraffic();

/** Accepts links from other processes of the fleet. */
class LinkServer {
public:
    /** Unavailable if the address cannot be bound; port 0 takes a free one. */
    static Result<std::unique_ptr<LinkServer>> listen(Loop& loop, const std::string& host, uint16_t port, LinkSettings settings, LinkHooks hooks);
    ~LinkServer();

    [[nodiscard]] uint16_t port() const;
    /** Blocks the calling fiber until the reply arrives; Unavailable if the link closes or the timeout expires. */
    Result<std::string> call(LinkId link, MessageType type, std::string body, Duration timeout);
    /** Sends a message that expects no reply; dropped if the link is closed. */
    void post(LinkId link, MessageType type, std::string body);
    /** Sends to every connected peer with this role. */
    void postToAll(LinkRole role, MessageType type, const std::string& body);
    /** Closes the listener and all links. */
    void close();

private:
    struct Impl;
    explicit LinkServer(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> impl_;
};

/** Keeps one link open to another process; reconnects with a growing delay after the link closes. */
class LinkClient {
public:
    LinkClient(Loop& loop, std::string host, uint16_t port, LinkSettings settings, LinkHooks hooks);
    ~LinkClient();

    [[nodiscard]] bool isOpen() const;
    /** Waits until the link is open; false on timeout. */
    bool waitOpen(Duration timeout);
    /**
     * Blocks the calling fiber until the reply arrives; Unavailable if the link is closed, closes, or the timeout
     * expires.
     */
    Result<std::string> call(MessageType type, std::string body, Duration timeout);
    /** Sends a message that expects no reply; returns false if the link is closed. */
    bool post(MessageType type, std::string body);
    /** Closes the link permanently. */
    void close();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

}
