#include "support/StandInServer.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_cat.h>
#include <csignal>
#include <cstdio>
#include <fstream>

ABSL_FLAG(std::string, host, "127.0.0.1", "IP address to listen on");
ABSL_FLAG(uint16_t, port, 0, "port to listen on; 0 takes a free one");
ABSL_FLAG(std::string, port_file, "", "file that the port is written to once the stand-in listens");

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Readers poll for the file, so it appears under its name only when it is complete. */
    bool writePortFile(const std::string& path, uint16_t port)
    {
        auto temporary = path + ".tmp";
        {
            std::ofstream file(temporary);
            file << port << "\n";
            if (!file.flush())
                return false;
        }
        return std::rename(temporary.c_str(), path.c_str()) == 0;
    }

    /** Listens on one address, but for the times in which the stand-in has crashed. */
    class CrashingServer {
    public:
        CrashingServer(Loop& loop, FaultSwitch& faults, HttpServer::Handler handler)
            : loop_(loop)
        {
            settings_.host = absl::GetFlag(FLAGS_host);
            settings_.port = absl::GetFlag(FLAGS_port);
            // Idle connections stay open longer than any caller keeps them for reuse.
            settings_.idleTimeout = 10min;
            handler_ = [&faults, handler = std::move(handler)](const HttpRequest& request, HttpExchange& exchange) {
                if (faults.isDown())
                    exchange.abort();
                else
                    handler(request, exchange);
            };
            faults.setCrashHook([this](Duration downTime) { goDown(downTime); });
        }

        Result<uint16_t> listen()
        {
            auto listening = HttpServer::listen(loop_, settings_, handler_);
            if (!listening)
                return tl::unexpected(listening.error());
            server_ = std::move(*listening);
            settings_.port = server_->port();
            return settings_.port;
        }

    private:
        void goDown(Duration downTime)
        {
            // Closes the listener and idle connections.
            server_.reset();
            loop_.spawn([this, downTime] {
                sleepFor(loop_, downTime);
                while (!server_ && !listen())
                    sleepFor(loop_, 20ms);
            });
        }

        Loop& loop_;
        HttpServerSettings settings_;
        HttpServer::Handler handler_;
        std::unique_ptr<HttpServer> server_;
    };

}

int runStandIn(Loop& loop, FaultSwitch& faults, HttpServer::Handler handler)
{
    CrashingServer server(loop, faults, std::move(handler));
    auto port = server.listen();
    if (!port) {
        std::fprintf(stderr, "cannot listen: %s\n", port.error().message.c_str());
        return 1;
    }
    std::printf("listening on %s:%d\n", absl::GetFlag(FLAGS_host).c_str(), *port);
    std::fflush(stdout);
    auto portFile = absl::GetFlag(FLAGS_port_file);
    if (!portFile.empty() && !writePortFile(portFile, *port)) {
        std::fprintf(stderr, "cannot write %s\n", portFile.c_str());
        return 1;
    }
    loop.onSignal(SIGTERM, [] { exitProcess(0); });
    loop.onSignal(SIGINT, [] { exitProcess(0); });
    loop.run();
    return 0;
}

void sendJson(HttpExchange& exchange, int status, const std::string& json)
{
    exchange.send(status, { { "Content-Type", "application/json" } }, json);
}

}
