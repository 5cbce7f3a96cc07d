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

/** What the other parts of an entry do with messages; called on the loop's thread, must not block. */
struct NodeLinksHooks {
    /** From an entry, or from a former pool owner. */
    std::function<void(NodeId from, LinkId link, MessageType, std::string_view body)> onOwnerMessage;
    /** Runs in a fiber of its own. */
    std::function<Result<std::string>(NodeId from, MessageType, std::string_view body)> onOwnerCall;
    /** From a pool owner: Grant or GrantRefusal. */
    std::function<void(MessageType, std::string_view body)> onEntryMessage;
    /** The link that this node opened to another one is open. */
    std::function<void(NodeId)> onNodeOpen;
    std::function<void(NodeId)> onEntryOpen;
    std::function<void(NodeId)> onEntryClosed;
};

/** Links between entries: one listener, and one outgoing link for each node that owns something. */
class NodeLinks : public NodeTransport {
public:
    /** Unavailable if the address cannot be bound. */
    static Result<std::unique_ptr<NodeLinks>> listen(Loop& loop, const HostPort& address, const LinkSettings& settings, const ClusterView& view, NodeLinksHooks hooks);
    ~NodeLinks() override;

    bool isReachable(NodeId node) override;
    bool post(NodeId node, MessageType type, std::string body) override;
    void answer(NodeId node, MessageType type, std::string body) override;
    Result<std::string> call(NodeId node, MessageType type, std::string body, Duration timeout) override;
    /** Closes links to nodes that are lost or have another address now. */
    void onConfigChange(const ClusterConfig& config);

private:
    struct Outgoing {
        HostPort address;
        std::shared_ptr<LinkClient> link;
    };

    NodeLinks(Loop& loop, LinkSettings settings, const ClusterView& view, NodeLinksHooks hooks);
    LinkHooks serverHooks();
    LinkClient* find(NodeId node);
    LinkClient* dial(NodeId node);
    void onLinkOpen(const Peer& peer);
    void onLinkClosed(const Peer& peer);
    [[nodiscard]] bool isSelf(NodeId node) const { return node == settings_.identity.node; }

    Loop& loop_;
    LinkSettings settings_;
    const ClusterView& view_;
    NodeLinksHooks hooks_;
    std::unique_ptr<LinkServer> server_;
    std::map<NodeId, Outgoing> outgoing_;
    /** Open links from each entry; the last one is the newest. */
    std::map<NodeId, std::set<LinkId>> incoming_;
};

}
