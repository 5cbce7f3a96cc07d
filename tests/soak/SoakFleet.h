#pragma once

#include "process/ProcessFixture.h"
#include "process/TcpCutter.h"
#include "soak/SoakSchedule.h"
#include "soak/SoakTraffic.h"

#include <array>
#include <future>
#include <map>
#include <set>

namespace briarhitch {

struct SoakResult {
    std::vector<std::string> violations;
    std::array<size_t, faultKindCount> injected {};
    uint64_t asked { 0 };
    uint64_t answered { 0 };
    size_t charges { 0 };
    size_t promisedNotRun { 0 };
    size_t acknowledgedChanges { 0 };
    /** Calls that reached targets while these named a limit, and the most that the limits allow in that time. */
    size_t rateLimitedCalls { 0 };
    double rateLimitedCapacity { 0 };
    /** Requests that crash targets and reached some, and those of them that a bound covers. */
    size_t deadlyArrivals { 0 };
    size_t boundedDeadlyArrivals { 0 };
};

/** A whole fleet on loopback with a forwarder on every link, to which a schedule of faults is done while callers ask. */
class SoakFleet : public ProcessFixture {
public:
    explicit SoakFleet(uint32_t entries)
        : entries_(entries)
    {
    }

    /** Plays the schedule, waits for recovery and compares what callers were told with what the targets did. */
    SoakResult play(uint64_t seed, const std::vector<Fault>& schedule, std::chrono::seconds length);
    void copyLogsTo(const std::string& path) const;

private:
    void TestBody() override { }

    void start();
    TcpCutter& forwarder(uint16_t port);
    uint16_t forwarderPort(uint16_t port) { return forwarder(port).port(); }
    void begin(const Fault& fault);
    void beginOnProcess(const Fault& fault, const std::string& name);
    void beginOnLink(const Fault& fault, TcpCutter& link);
    void beginOnTarget(const Fault& fault, Daemon& target);
    void beginRateLimit(const Fault& fault, const std::string& target);
    /** Orders faults of a target; a rate limit that it names stays. */
    void orderTargetFaults(const Daemon& target, Json faults);
    void judgeRateLimits();
    void judgeDeadlyRequests();
    /** `freeCrashes`: arrivals later than the stability window after this many are bounded. */
    void judgeDeadlyArrivals(const std::string& what, std::vector<int64_t> arrivalsMs, size_t freeCrashes);
    void changeCustomers();
    void later(std::chrono::milliseconds delay, std::function<void()> action);
    void runDue(std::chrono::milliseconds now);
    void recover();
    void judge(SoakTraffic& traffic);
    void violation(const std::string& text) { result_.violations.push_back(text); }

    /** A time in which a target's answers named a limit. */
    struct RateLimitPeriod {
        std::string target;
        double requestsPerSecond { 0 };
        Instant begin;
        Instant end;
    };

    uint32_t entries_;
    SoakResult result_;
    std::vector<RateLimitPeriod> rateLimitPeriods_;
    /** Limits that targets name now. */
    std::map<std::string, double> rateLimits_;
    /** When faults hit a process or a link; later than the stability window after the last one, all entries are in touch. */
    std::vector<Instant> disruptions_;
    std::vector<std::unique_ptr<TcpCutter>> links_;
    std::vector<uint16_t> callerPorts_;
    std::multimap<std::chrono::milliseconds, std::function<void()>> due_;
    std::chrono::milliseconds now_ { 0 };
    std::set<std::string> down_;
    std::vector<std::future<std::string>> changes_;
};

}
