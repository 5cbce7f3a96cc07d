#pragma once

#include "process/ChildProcess.h"
#include "process/PlainHttp.h"

#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace briarhitch {

using Json = nlohmann::json;

/** A daemon or stand-in of a test. */
struct Daemon {
    std::string name;
    std::string program;
    std::vector<std::string> arguments;
    /** Callers' or operators' port. */
    uint16_t port { 0 };
    /** Port for links between own processes; 0 for stand-ins. */
    uint16_t linkPort { 0 };
    std::unique_ptr<ChildProcess> process;
};

/** Starts real processes on loopback ports in a temporary folder; all are gone when the test ends. */
class ProcessFixture : public testing::Test {
public:
    static constexpr auto operatorKey = "operator key of the tests";
    static constexpr auto customerKey = "customer key of the tests";
    static constexpr auto customer = "harbour";
    static constexpr auto model = "small";
    static constexpr auto service = "booking";

    static PlainRequest chat(const std::string& prompt, int tokens, bool isStream, const std::string& key = customerKey);
    static PlainRequest charge(const std::string& chargeId, const std::string& idempotencyKey = "");
    static PlainRequest lookup(const std::string& id);

protected:
    ProcessFixture();
    ~ProcessFixture() override;

    /** Port at which a process dials a voter whose own port is given; for a forwarder between them. */
    using VoterPort = std::function<uint16_t(int voter, uint16_t port)>;
    /** Port that an entry announces for its links instead of the given one. */
    using AnnouncedPort = std::function<uint16_t(uint16_t port)>;

    /** Starts all voters at once; they need each other's addresses. */
    void startControls(size_t count, const std::function<uint16_t(int from, int to, uint16_t port)>& portBetween = {});
    Daemon& startEntry(uint32_t node, const std::string& fleetKey = "fleet key of the tests", const VoterPort& voterPort = {}, const AnnouncedPort& announcedPort = {});
    Daemon& startEngine(const std::string& name, std::vector<std::string> flags = {});
    Daemon& startService(const std::string& name, std::vector<std::string> flags = {});
    /** One control, entries 1 and 2, a fast and a slow engine, two services, a customer; returns when requests are answered. */
    void startWholePath();
    /** Starts a daemon that ended again, on the same ports and data. */
    void restart(Daemon& daemon);
    Daemon& daemon(const std::string& name);
    Daemon& entry(uint32_t node) { return daemon("entry-" + std::to_string(node)); }

    /** Logs, settings and data of all daemons. */
    [[nodiscard]] const std::string& folder() const { return folder_; }
    [[nodiscard]] std::string logPath(const std::string& name) const { return folder_ + "/" + name + ".log"; }

    /** Throws, and so fails the test, if the condition doesn't come true in time. */
    static void waitUntil(const std::string& what, const std::function<bool()>& condition, std::chrono::seconds bound = std::chrono::seconds(30));
    void waitReady(const Daemon& daemon);

    /** Sends an operator's request to the leader, trying all voters; waits for a leader for a bounded time. */
    PlainAnswer callOperators(const std::string& method, const std::string& path, const Json& body = nullptr);
    /** Makes a change and waits until it is in force everywhere. */
    Json change(const std::string& method, const std::string& path, Json body);
    Json status();
    /** Entry that owns the pool at present; 0 if none. */
    uint32_t ownerOf(const std::string& pool);
    uint64_t epochOf(const std::string& pool);
    void putCustomer(const Json& contract, uint64_t expectedVersion = 0);
    void putTarget(const Daemon& target, const std::string& kind, uint16_t port = 0);
    static Json defaultContract();

    Json ledger(const Daemon& standIn);
    void orderFaults(const Daemon& standIn, const Json& faults);
    /** The same order for every service. */
    void orderServiceFaults(const Json& faults);
    /** How often the services together booked the charge. */
    uint64_t timesCharged(const std::string& chargeId);
    /** Requests with this prompt that any engine ran. */
    size_t timesRun(const std::string& prompt);

private:
    uint16_t freePort();
    Daemon& start(Daemon daemon);
    std::string writeSettings(const std::string& name, const Json& settings);
    void waitPortFile(Daemon& daemon, const std::string& path);

    std::string folder_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::vector<std::string> engines_;
    std::vector<std::string> services_;
    Json voters_ = Json::array();
    uint16_t nextPort_ { 0 };
    int changes_ { 0 };
};

/** Text of the answer in a stream's events or a whole chat completion; empty if its form is wrong. */
std::string textOfStream(const std::string& body);
std::string textOfWhole(const std::string& body);
/** Event ids of a stream in their order. */
std::vector<int> idsOfStream(const std::string& body);
/** What the stand-ins answer to a chat request with this prompt. */
std::string expectedChat(const std::string& prompt, int tokens);
/** A field of the error in an answer; empty if there is none. */
std::string errorField(const PlainAnswer& answer, const std::string& field);

}
