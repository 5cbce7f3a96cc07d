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

}

int runStandIn(Loop& loop, HttpServer::Handler handler)
{
    HttpServerSettings settings;
    settings.host = absl::GetFlag(FLAGS_host);
    settings.port = absl::GetFlag(FLAGS_port);
    // Idle connections stay open longer than any caller keeps them for reuse.
    settings.idleTimeout = 10min;
    auto server = HttpServer::listen(loop, settings, std::move(handler));
    if (!server) {
        std::fprintf(stderr, "cannot listen: %s\n", server.error().message.c_str());
        return 1;
    }
    std::printf("listening on %s:%d\n", settings.host.c_str(), (*server)->port());
    std::fflush(stdout);
    auto portFile = absl::GetFlag(FLAGS_port_file);
    if (!portFile.empty() && !writePortFile(portFile, (*server)->port())) {
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
