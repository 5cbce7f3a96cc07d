#include "briarhitch/control/ControlProcess.h"

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Requests of operators that are still running get this long before the process ends. */
    constexpr Duration drainLimit = 5s;
    constexpr Duration drainStep = 20ms;

    LinkSettings linkSettingsOf(const ControlSettings& settings)
    {
        LinkSettings link;
        link.fleetKey = settings.fleetKey;
        link.identity = { LinkRole::Control, settings.node, Incarnation(static_cast<uint64_t>(wallClockMs())) };
        return link;
    }

    ControlServerSettings serverSettingsOf(const ControlSettings& settings)
    {
        ControlServerSettings server;
        server.self = settings.node;
        server.voters = settings.voters;
        server.maxRunRecords = settings.maxRunRecords;
        server.maxAnswerBytes = settings.maxAnswerBytes;
        server.answerRetention = settings.answerRetention;
        return server;
    }

}

ControlProcess::ControlProcess(Loop& loop, ControlSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , link_(linkSettingsOf(settings_))
    , server_(loop_, serverSettingsOf(settings_), state_, metrics_)
    , admin_(loop_, { settings_.node, settings_.voters, settings_.operatorKeyHashes, settings_.poolScope, [this] { return log_->status(); }, [this](NodeId node) { return log_->addVoter(node); }, [this](NodeId node) { return log_->removeVoter(node); } },
          server_, metrics_)
{
}

ReplicatedLogHooks ControlProcess::logHooks()
{
    ReplicatedLogHooks hooks;
    hooks.apply = [this](uint64_t, std::string_view command) { return state_.apply(command); };
    hooks.takeSnapshot = [this] { return state_.takeSnapshot(); };
    hooks.loadSnapshot = [this](uint64_t, std::string_view snapshot) {
        if (auto loaded = state_.loadSnapshot(snapshot); !loaded) {
            // Going on without the state would serve an empty fleet.
            console_.error(loaded.error().message);
            exitProcess(1);
        }
    };
    hooks.onRoleChange = [this](bool isLeader, uint64_t term) { server_.onRoleChange(isLeader, term); };
    return hooks;
}

RaftNodeSettings ControlProcess::raftSettings()
{
    RaftNodeSettings raft;
    raft.self = settings_.node;
    for (const auto& voter : settings_.voters)
        raft.voters.push_back(voter.node);
    raft.dataFolder = settings_.dataFolder;
    raft.sendMessage = [this](NodeId to, std::string bytes) { sendToVoter(to, std::move(bytes)); };
    return raft;
}

void ControlProcess::sendToVoter(NodeId to, std::string bytes)
{
    auto it = voters_.find(to);
    if (it != voters_.end())
        it->second->post(MessageType::Raft, std::move(bytes));
}

LinkHooks ControlProcess::linkHooks()
{
    LinkHooks hooks;
    hooks.onRequest = [this](const Peer& peer, MessageType type, std::string_view body) { return server_.onRequest(peer, type, body); };
    hooks.onPost = [this](const Peer& peer, MessageType type, std::string_view body) {
        if (type == MessageType::Raft && peer.identity.role == LinkRole::Control)
            log_->receive(peer.identity.node, body);
    };
    return hooks;
}

Result<void> ControlProcess::openLog()
{
    auto log = RaftNode::open(loop_, raftSettings(), logHooks());
    if (!log)
        return tl::unexpected(log.error());
    log_ = std::move(*log);
    server_.setLog(*log_);
    return {};
}

Result<void> ControlProcess::listen()
{
    auto links = LinkServer::listen(loop_, settings_.linkHost, settings_.linkPort, link_, linkHooks());
    if (!links)
        return tl::unexpected(links.error());
    links_ = std::move(*links);
    HttpServerSettings http;
    http.host = settings_.adminHost;
    http.port = settings_.adminPort;
    auto listening = HttpServer::listen(loop_, http, [this](const HttpRequest& request, HttpExchange& exchange) { admin_.handle(request, exchange); });
    if (!listening)
        return tl::unexpected(listening.error());
    http_ = std::move(*listening);
    return {};
}

void ControlProcess::dialVoters()
{
    for (const auto& voter : settings_.voters) {
        if (voter.node != settings_.node)
            voters_.emplace(voter.node, std::make_unique<LinkClient>(loop_, voter.host, voter.port, link_, LinkHooks {}));
    }
}

Result<void> ControlProcess::start()
{
    // The log comes first, because requests may arrive as soon as an address is bound.
    if (auto opened = openLog(); !opened)
        return opened;
    if (auto listening = listen(); !listening)
        return listening;
    dialVoters();
    server_.start();
    console_.info("node " + std::to_string(settings_.node.value()) + " serves links on " + settings_.linkHost + ":" + std::to_string(links_->port())
        + " and operators on " + settings_.adminHost + ":" + std::to_string(http_->port()));
    return {};
}

void ControlProcess::drain()
{
    console_.info("ends after the running requests");
    http_->drain();
    Instant deadline = BootClock::now() + drainLimit;
    while (http_->requestsRunning() > 0 && BootClock::now() < deadline)
        sleepFor(loop_, drainStep);
    server_.stop();
    links_->close();
}

}
