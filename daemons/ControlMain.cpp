#include "briarhitch/control/AdminApi.h"
#include "briarhitch/control/ControlServer.h"
#include "briarhitch/control/LocalLog.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"
#include "briarhitch/settings/ControlSettings.h"
#include "briarhitch/wire/Link.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, config, "", "settings file, JSON with comments; see examples/control.json");
ABSL_FLAG(bool, check_config, false, "check the settings file, print what is wrong with it, and exit");

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /** Exit codes, as the usage text lists them. */
    constexpr int exitGood = 0;
    constexpr int exitFailed = 1;
    constexpr int exitWrongUsage = 2;
    /** Requests of operators that are still running get this long before the process ends. */
    constexpr Duration drainLimit = 5s;
    constexpr Duration drainStep = 20ms;

    constexpr auto usageText = "a voter of the control log and the operators' HTTP API of a Briarhitch fleet.\n\n"
                               "usage: briarhitch-control --config FILE [--check_config]\n\n"
                               "SIGTERM and SIGINT end the process after the running requests; a second one ends it at once.\n"
                               "exit codes: 0 ended by a signal, or the settings are good; 1 an address cannot be bound or the\n"
                               "data folder cannot be used; 2 wrong flags or settings";

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

    /** All parts of the running process. */
    class ControlProcess {
    public:
        explicit ControlProcess(ControlSettings settings)
            : settings_(std::move(settings))
            , server_(loop_, serverSettingsOf(settings_), state_, metrics_)
            , admin_(loop_, { settings_.node, settings_.voters, settings_.operatorKeyHashes, settings_.poolScope }, server_, metrics_)
            , log_(settings_.node, logHooks())
        {
            server_.setLog(log_);
        }

        int run()
        {
            loop_.spawn([this] { start(); });
            loop_.run();
            return exitCode_;
        }

    private:
        ReplicatedLogHooks logHooks()
        {
            ReplicatedLogHooks hooks;
            hooks.apply = [this](uint64_t, std::string_view command) { return state_.apply(command); };
            hooks.takeSnapshot = [this] { return state_.takeSnapshot(); };
            hooks.loadSnapshot = [this](uint64_t, std::string_view snapshot) { loadSnapshot(snapshot); };
            hooks.onRoleChange = [this](bool isLeader, uint64_t term) { server_.onRoleChange(isLeader, term); };
            return hooks;
        }

        void loadSnapshot(std::string_view snapshot)
        {
            if (auto loaded = state_.loadSnapshot(snapshot); !loaded) {
                console_.error(loaded.error().message);
                exitProcess(exitFailed);
            }
        }

        void start()
        {
            auto started = listen();
            if (!started) {
                console_.error(started.error().message);
                exitCode_ = exitFailed;
                loop_.stop();
                return;
            }
            loop_.onSignal(SIGTERM, [this] { onEndSignal(); });
            loop_.onSignal(SIGINT, [this] { onEndSignal(); });
            log_.start();
            server_.start();
            console_.info("node " + std::to_string(settings_.node.value()) + " serves links on " + settings_.linkHost + ":" + std::to_string(links_->port())
                + " and operators on " + settings_.adminHost + ":" + std::to_string(http_->port()));
        }

        Result<void> listen()
        {
            LinkHooks hooks;
            hooks.onRequest = [this](const Peer& peer, MessageType type, std::string_view body) { return server_.onRequest(peer, type, body); };
            auto links = LinkServer::listen(loop_, settings_.linkHost, settings_.linkPort, linkSettingsOf(settings_), hooks);
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

        void onEndSignal()
        {
            if (ending_)
                exitProcess(exitGood);
            ending_ = true;
            console_.info("ends after the running requests");
            loop_.spawn([this] { drain(); });
        }

        void drain()
        {
            http_->drain();
            Instant deadline = BootClock::now() + drainLimit;
            while (http_->requestsRunning() > 0 && BootClock::now() < deadline)
                sleepFor(loop_, drainStep);
            server_.stop();
            links_->close();
            loop_.stop();
        }

        ControlSettings settings_;
        Loop loop_;
        MetricRegistry metrics_;
        StateMachine state_;
        ControlServer server_;
        AdminApi admin_;
        LocalLog log_;
        std::unique_ptr<LinkServer> links_;
        std::unique_ptr<HttpServer> http_;
        Log console_ { "control:" };
        bool ending_ { false };
        int exitCode_ { exitGood };
    };

    int runMain()
    {
        auto path = absl::GetFlag(FLAGS_config);
        if (path.empty()) {
            std::cerr << "briarhitch-control: --config is missing; see --help\n";
            return exitWrongUsage;
        }
        auto settings = ControlSettings::fromFile(path);
        if (!settings) {
            std::cerr << settings.error().message << "\n";
            return exitWrongUsage;
        }
        if (absl::GetFlag(FLAGS_check_config)) {
            std::cout << path << ": good\n";
            return exitGood;
        }
        setUpLogging(settings->logLevel);
        ControlProcess process(std::move(*settings));
        return process.run();
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(briarhitch::usageText);
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string("briarhitch-control " BRIARHITCH_VERSION "\n"); };
    usage.contains_helpshort_flags = [](absl::string_view file) { return file.find("ControlMain") != absl::string_view::npos; };
    usage.contains_help_flags = usage.contains_helpshort_flags;
    absl::SetFlagsUsageConfig(usage);
    if (absl::ParseCommandLine(argc, argv).size() > 1) {
        std::cerr << "briarhitch-control: takes flags only; see --help\n";
        return briarhitch::exitWrongUsage;
    }
    int code = briarhitch::runMain();
    std::cout.flush();
    briarhitch::exitProcess(code);
}
