#include "platform/process/PlatformProcesses.h"

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace briarhitch::platform {

namespace {

    using namespace std::chrono_literals;

    constexpr auto fleetKey = "fleet key of the tests";

    /** Number of fleets that this process has started; each has addresses of its own. */
    int fleetCount = 0;

}

PlatformProcesses::PlatformProcesses(const std::string& binFolder)
    : binFolder_(binFolder)
    , addressPrefix_("127." + std::to_string(10 + getpid() % 200) + "." + std::to_string((getpid() / 200 + fleetCount++) % 200) + ".")
{
    auto pattern = (std::filesystem::temp_directory_path() / "briarhitch-platform-XXXXXX").string();
    folder_ = mkdtemp(pattern.data());
}

PlatformProcesses::~PlatformProcesses()
{
    killAll();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

void PlatformProcesses::killAll()
{
    for (auto& [name, process] : processes_)
        process->kill();
}

ChildProcess& PlatformProcesses::start(const std::string& name, const std::string& program, const Json& settings, const std::vector<std::string>& extraArguments)
{
    auto path = folder_ + "/" + name + ".json";
    auto all = settings;
    all.update(commonSettings_);
    std::ofstream(path) << all.dump(2);
    std::vector<std::string> arguments { "--config=" + path };
    arguments.insert(arguments.end(), extraArguments.begin(), extraArguments.end());
    auto& process = processes_[name];
    process = std::make_unique<ChildProcess>(binFolder_ + "/" + program, arguments, folder_ + "/" + name + ".log");
    return *process;
}

PlatformProcesses::Json PlatformProcesses::fleet() const
{
    return { { "seeds", { address(1, adminPort), address(2, adminPort), address(3, adminPort) } }, { "link_port", linkPort } };
}

PlatformProcesses::Json PlatformProcesses::controlSettings(int number, bool mayBootstrap) const
{
    auto settings = Json { { "fleet", fleet() }, { "link", { { "host", host(number) }, { "port", linkPort } } }, { "admin", { { "address", address(number, adminPort) } } },
        { "data_folder", folder_ + "/data-" + std::to_string(number) }, { "fleet_key", fleetKey } };
    settings["fleet"]["may_found"] = mayBootstrap;
    return settings;
}

ChildProcess& PlatformProcesses::startControl(int number, bool mayBootstrap)
{
    return start("control-" + std::to_string(number), "briarhitch-platform-control", controlSettings(number, mayBootstrap), { "--instances=" + address(50, platformPort) });
}

ChildProcess& PlatformProcesses::startPoolOwner(int number)
{
    return start("pools-" + std::to_string(number), "briarhitch-platform-entry", { { "fleet", fleet() }, { "region", "fleet" }, { "zone", "a" }, { "serves_callers", false }, { "prefers_pools", true }, { "link", { { "host", host(number) }, { "port", poolLinkPort } } }, { "fleet_key", fleetKey }, { "policy", { { "name", "slots" } } } });
}

ChildProcess& PlatformProcesses::startFront(int number)
{
    return start("front-" + std::to_string(number), "briarhitch-platform-entry",
        { { "fleet", fleet() }, { "region", "fleet" }, { "zone", "a" }, { "http", { { "address", address(number, callerPort) } } }, { "ready", { { "address", address(number, readyPort) } } },
            { "link", { { "host", host(number) }, { "port", linkPort } } }, { "fleet_key", fleetKey }, { "policy", { { "name", "slots" } } },
            { "limits", { { "heartbeat_interval_ms", 100 }, { "solo_after_ms", 150 }, { "lame_duck_ms", 300 }, { "drain_timeout_ms", 5000 }, { "handover_timeout_ms", 100 } } } });
}

HttpCallSettings PlatformProcesses::callSettings(const std::string& host, uint16_t port, const std::string& method, const std::string& path, const std::string& body, const HttpHeaders& headers)
{
    HttpCallSettings settings;
    settings.host = host;
    settings.port = port;
    settings.method = method;
    settings.target = path;
    settings.body = body;
    settings.headers = headers;
    settings.headerTimeout = 30s;
    settings.isReuseAllowed = false;
    return settings;
}

HttpHeaders PlatformProcesses::requestHeaders(const std::string& id, const std::string& key, int deadlineMs)
{
    return { { "Host", "a.example" }, { "Briarhitch-Request-Id", id }, { "X-Api-Key", key }, { "Briarhitch-Deadline-Ms", std::to_string(deadlineMs) } };
}

HttpResponse PlatformProcesses::callOperatorApi(HttpClient& client, int number, const std::string& method, const std::string& body, const std::string& path) const
{
    auto response = fetch(client, callSettings(host(number), adminPort, method, path, body));
    if (!response)
        return {};
    if (response->status != 307)
        return *response;
    std::string location(findHeader(response->headers, "Location"));
    auto begin = location.find("//") + 2;
    auto redirected = fetch(client, callSettings(location.substr(begin, location.find(':', begin) - begin), adminPort, method, path, body));
    return redirected ? *redirected : HttpResponse {};
}

}
