#pragma once

#include "briarhitch/http/HttpClient.h"
#include "briarhitch/runtime/Loop.h"
#include "process/ChildProcess.h"

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace briarhitch::platform {

/** The platform's programs as real processes on loopback addresses of their own, in a temporary folder; all end with this object. */
class PlatformProcesses {
public:
    using Json = nlohmann::json;

    static constexpr uint16_t adminPort = 18300;
    static constexpr uint16_t linkPort = 18301;
    static constexpr uint16_t poolLinkPort = 18302;
    static constexpr uint16_t callerPort = 18303;
    static constexpr uint16_t readyPort = 18304;
    static constexpr uint16_t platformPort = 18305;

    explicit PlatformProcesses(const std::string& binFolder);
    ~PlatformProcesses();
    PlatformProcesses(const PlatformProcesses&) = delete;
    PlatformProcesses& operator=(const PlatformProcesses&) = delete;

    /** The first three parts of all addresses, with the dot behind them. */
    [[nodiscard]] const std::string& addressPrefix() const { return addressPrefix_; }
    /** Loopback address with this last part. */
    [[nodiscard]] std::string host(int number) const { return addressPrefix_ + std::to_string(number); }
    [[nodiscard]] std::string address(int number, uint16_t port) const { return host(number) + ":" + std::to_string(port); }

    /** Settings that all programs get that are started later. */
    void setCommonSettings(Json settings) { commonSettings_ = std::move(settings); }
    ChildProcess& start(const std::string& name, const std::string& program, const Json& settings, const std::vector<std::string>& extraArguments = {});
    /** Reads the list of servers at host 50. */
    ChildProcess& startControl(int number, bool mayBootstrap);
    ChildProcess& startPoolOwner(int number);
    ChildProcess& startFront(int number);
    [[nodiscard]] Json controlSettings(int number, bool mayBootstrap) const;

    void killAll();
    [[nodiscard]] std::map<std::string, std::unique_ptr<ChildProcess>>& all() { return processes_; }
    [[nodiscard]] ChildProcess& at(const std::string& name) { return *processes_.at(name); }
    [[nodiscard]] const std::string& folder() const { return folder_; }

    static HttpCallSettings callSettings(const std::string& host, uint16_t port, const std::string& method, const std::string& path, const std::string& body = {}, const HttpHeaders& headers = {});
    static HttpHeaders requestHeaders(const std::string& id, const std::string& key, int deadlineMs);
    /** Calls the operator API of a control process and follows its redirect; in a fiber. Status 0 without a response. */
    HttpResponse callOperatorApi(HttpClient& client, int number, const std::string& method, const std::string& body = {}, const std::string& path = "/v1/config") const;

private:
    [[nodiscard]] Json fleet() const;

    std::string binFolder_;
    std::string addressPrefix_;
    std::string folder_;
    Json commonSettings_ = Json::object();
    std::map<std::string, std::unique_ptr<ChildProcess>> processes_;
};

}
