#pragma once

#include "briarhitch/entry/ClusterView.h"
#include "briarhitch/entry/ControlClient.h"
#include "briarhitch/entry/NodeTransport.h"
#include "briarhitch/wire/Link.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace briarhitch {

/** Handlers for messages and link events; called on the loop's thread and must not block, except onCallToOwner. */
struct NodeLinksHooks {
    /** A message to this node as pool owner, from an entry or a previous owner. */
    std::function<void(NodeId from, LinkId link, MessageType, std::string_view body)> onMessageToOwner;
    /** A call to this node as pool owner. Runs in a separate fiber. */
    std::function<Result<std::string>(NodeId from, MessageType, std::string_view body)> onCallToOwner;
    /** A message to this node as entry, from a pool owner. */
    std::function<void(MessageType, std::string_view body)> onMessageToEntry;
    /** A link from this node to another one has opened. */
    std::function<void(NodeId)> onOutgoingLinkOpen;
    std::function<void(NodeId)> onEntryConnected;
    std::function<void(NodeId)> onEntryDisconnected;
};

/** Links between entries: one listener, and one outgoing link to each node that this one sends messages to. */
class NodeLinks : public NodeTransport {
public:
    /** Unavailable if the address cannot be bound. */
    static Result<std::unique_ptr<NodeLinks>> listen(Loop& loop, const HostPort& address, const LinkSettings& settings, const ClusterView& view, NodeLinksHooks hooks);
    ~NodeLinks() override;

    bool isReachable(NodeId node) override;
    bool postToOwner(NodeId node, MessageType type, std::string body) override;
    void postToEntry(NodeId node, MessageType type, std::string body) override;
    Result<std::string> call(NodeId node, MessageType type, std::string body, Duration timeout) override;
    /** Closes links to nodes that are lost, removed, or have changed their address. */
    void onConfigChange(const ClusterConfig& config);

private:
    struct Outgoing {
        HostPort address;
        std::shared_ptr<LinkClient> link;
    };

    NodeLinks(Loop& loop, LinkSettings settings, const ClusterView& view, NodeLinksHooks hooks);
    LinkHooks serverHooks();
    LinkClient* findOutgoing(NodeId node);
    LinkClient* connect(NodeId node);
    void onIncomingLinkOpen(const Peer& peer);
    void onIncomingLinkClosed(const Peer& peer);
    [[nodiscard]] bool isSelf(NodeId node) const { return node == settings_.identity.node; }

    Loop& loop_;
    LinkSettings settings_;
    const ClusterView& view_;
    NodeLinksHooks hooks_;
    std::unique_ptr<LinkServer> server_;
    std::map<NodeId, Outgoing> outgoing_;
    /** Open incoming links of each entry, in the order of their opening. */
    std::map<NodeId, std::set<LinkId>> incoming_;
};

}
