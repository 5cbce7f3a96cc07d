#include "briarhitch/entry/NodeLinks.h"

#include "briarhitch/runtime/Loop.h"

namespace briarhitch {

NodeLinks::NodeLinks(Loop& loop, LinkSettings settings, const ClusterView& view, NodeLinksHooks hooks)
    : loop_(loop)
    , settings_(std::move(settings))
    , view_(view)
    , hooks_(std::move(hooks))
{
}

NodeLinks::~NodeLinks() = default;

Result<std::unique_ptr<NodeLinks>> NodeLinks::listen(Loop& loop, const HostPort& address, const LinkSettings& settings, const ClusterView& view, NodeLinksHooks hooks)
{
    std::unique_ptr<NodeLinks> links(new NodeLinks(loop, settings, view, std::move(hooks)));
    auto server = LinkServer::listen(loop, address.host, address.port, settings, links->serverHooks());
    if (!server)
        return tl::unexpected(server.error());
    links->server_ = std::move(*server);
    return links;
}

LinkHooks NodeLinks::serverHooks()
{
    LinkHooks hooks;
    hooks.onPost = [this](const Peer& peer, MessageType type, std::string_view body) {
        if (peer.identity.role == LinkRole::Entry)
            hooks_.onMessageToOwner(peer.identity.node, peer.link, type, body);
    };
    hooks.onRequest = [this](const Peer& peer, MessageType type, std::string_view body) -> Result<std::string> {
        if (peer.identity.role != LinkRole::Entry)
            return fail(ErrorKind::Unauthorized, "only entries may call a pool owner");
        return hooks_.onCallToOwner(peer.identity.node, type, body);
    };
    hooks.onOpen = [this](const Peer& peer) { onIncomingLinkOpen(peer); };
    hooks.onClosed = [this](const Peer& peer) { onIncomingLinkClosed(peer); };
    return hooks;
}

void NodeLinks::onIncomingLinkOpen(const Peer& peer)
{
    incoming_[peer.identity.node].insert(peer.link);
    hooks_.onEntryConnected(peer.identity.node);
}

void NodeLinks::onIncomingLinkClosed(const Peer& peer)
{
    auto it = incoming_.find(peer.identity.node);
    if (it == incoming_.end())
        return;
    it->second.erase(peer.link);
    if (!it->second.empty())
        return;
    incoming_.erase(it);
    hooks_.onEntryDisconnected(peer.identity.node);
}

LinkClient* NodeLinks::findOutgoing(NodeId node)
{
    auto it = outgoing_.find(node);
    return it == outgoing_.end() ? nullptr : it->second.link.get();
}

LinkClient* NodeLinks::connect(NodeId node)
{
    auto known = view_.config().nodes.find(node);
    if (known == view_.config().nodes.end() || known->second.lost)
        return nullptr;
    LinkHooks hooks;
    hooks.onPost = [this](const Peer&, MessageType type, std::string_view body) { hooks_.onMessageToEntry(type, body); };
    hooks.onOpen = [this, node](const Peer& peer) {
        // Another node may be using the address by now.
        if (peer.identity.node == node)
            hooks_.onOutgoingLinkOpen(node);
    };
    HostPort address { known->second.host, known->second.port };
    auto link = std::make_shared<LinkClient>(loop_, address.host, address.port, settings_, hooks);
    outgoing_[node] = { address, link };
    return link.get();
}

bool NodeLinks::isReachable(NodeId node)
{
    if (isSelf(node))
        return true;
    auto* link = findOutgoing(node);
    if (!link)
        link = connect(node);
    return link && link->isOpen();
}

bool NodeLinks::postToOwner(NodeId node, MessageType type, std::string body)
{
    if (isSelf(node)) {
        hooks_.onMessageToOwner(node, LinkId(), type, body);
        return true;
    }
    auto* link = findOutgoing(node);
    return link && link->post(type, std::move(body));
}

void NodeLinks::postToEntry(NodeId node, MessageType type, std::string body)
{
    if (isSelf(node)) {
        hooks_.onMessageToEntry(type, body);
        return;
    }
    auto it = incoming_.find(node);
    if (it != incoming_.end())
        server_->post(*it->second.rbegin(), type, std::move(body));
}

Result<std::string> NodeLinks::call(NodeId node, MessageType type, std::string body, Duration timeout)
{
    if (isSelf(node))
        return hooks_.onCallToOwner(node, type, body);
    if (!isReachable(node))
        return fail(ErrorKind::Unavailable, "no open link to node " + std::to_string(node.value()));
    // Shared ownership, because the link may be replaced while this fiber waits.
    auto link = outgoing_[node].link;
    return link->call(type, std::move(body), timeout);
}

void NodeLinks::onConfigChange(const ClusterConfig& config)
{
    for (auto it = outgoing_.begin(); it != outgoing_.end();) {
        auto known = config.nodes.find(it->first);
        bool isSame = known != config.nodes.end() && !known->second.lost
            && HostPort { known->second.host, known->second.port } == it->second.address;
        it = isSame ? std::next(it) : outgoing_.erase(it);
    }
}

}
