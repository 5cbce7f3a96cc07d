#pragma once

#include "capacity/ProcessUsage.h"
#include "process/ChildProcess.h"
#include "process/PlainHttp.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** What a process used over a window of time. */
struct Usage {
    /** Part of one core. */
    double cpu { 0 };
    double residentBytes { 0 };
    /** Over links between own processes, bytes a second. */
    double linkBytesSent { 0 };
    double linkBytesReceived { 0 };
};

/** Control voters, entries and stand-ins as processes on loopback; all end with the object. */
class CapacityFleet {
public:
    /** Daemons come from the first folder; settings, logs and data go to the second. */
    CapacityFleet(std::string programFolder, std::string folder);
    ~CapacityFleet();

    void startControl(size_t voters = 1);
    /** Starts entries until there are this many, and waits until all have a lease. */
    void growTo(size_t entries);
    /** Adds engine or service stand-ins as targets. */
    void addEngine(const std::vector<std::string>& flags);
    void addService();
    /** Targets that get no requests; one engine stand-in answers the polls of their load. */
    void addIdleTargets(size_t from, size_t to);
    void addCustomers(size_t from, size_t to);
    /** Sends a change and returns the seconds until it was in force on every node. */
    double timeToForce();
    /** Sends a change to the voters but one, again and again until one of them has accepted it. */
    void acceptChange(size_t exceptVoter);
    /** Runs briarhitch-load against the entries and returns its JSON. */
    nlohmann::json load(const std::vector<std::string>& flags, const nlohmann::json& mix);

    /** Usage over the window of the control process, then of each entry. */
    std::vector<Usage> measure(double seconds);
    /** Counters now: control, then entries. */
    struct Totals {
        std::vector<ProcessUsage> usage;
        std::vector<double> sent;
        std::vector<double> received;
    };
    Totals totals();
    nlohmann::json status();
    /** Index of the entry that owns the pool; none while nobody does. */
    std::optional<size_t> ownerOf(const std::string& pool);
    /** Index of the leading voter. */
    size_t leader();
    ChildProcess& entryProcess(size_t index) { return *entries_[index].process; }
    ChildProcess& controlProcess(size_t index) { return *controls_[index].process; }
    [[nodiscard]] uint16_t entryPort(size_t index) const { return entries_[index].port; }
    /** Starts briarhitch-load against the entries in the background; its output goes to the log of the process. */
    std::unique_ptr<ChildProcess> startLoad(const std::vector<std::string>& flags, const nlohmann::json& mix);
    /** Bytes of the log and snapshot files. */
    [[nodiscard]] double dataBytes() const;

private:
    struct Entry {
        std::unique_ptr<ChildProcess> process;
        uint16_t port { 0 };
    };

    struct Control {
        std::unique_ptr<ChildProcess> process;
        uint16_t link { 0 };
        uint16_t admin { 0 };
    };

    uint16_t freePort();
    std::string writeFile(const std::string& name, const nlohmann::json& content) const;
    std::unique_ptr<ChildProcess> start(const std::string& program, const std::vector<std::string>& arguments, const std::string& name);
    nlohmann::json operate(const std::string& method, const std::string& path, nlohmann::json body = nullptr);
    void addTarget(const std::string& kind, const std::string& serves, uint16_t port);
    uint16_t startStandIn(const std::string& program, std::vector<std::string> flags);
    double metric(uint16_t port, const std::string& name) const;

    std::string programFolder_;
    std::string folder_;
    uint16_t nextPort_ { 20000 };
    uint16_t idlePort_ { 0 };
    std::vector<Control> controls_;
    std::vector<Entry> entries_;
    std::vector<std::unique_ptr<ChildProcess>> standIns_;
    size_t targets_ { 0 };
    size_t changes_ { 0 };
};

/** Waits for the end of briarhitch-load and reads its JSON. */
nlohmann::json loadResult(ChildProcess& load);

}
