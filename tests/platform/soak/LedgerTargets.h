#pragma once

#include "briarhitch/core/Random.h"
#include "briarhitch/http/HttpServer.h"
#include "briarhitch/runtime/Loop.h"
#include "platform/soak/RunLedger.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace briarhitch::platform {

/** What software versions the list of servers names. */
enum class NamedVersions : uint8_t {
    One,
    None,
    /** Targets change from one version to another, one after the other. */
    Changing,
};

struct LedgerTargetsSettings {
    uint64_t seed { 1 };
    /** Engines at hosts 60, 61, ... of the prefix, booking servers after them, and the list of servers at host 50. */
    std::string addressPrefix;
    uint16_t port { 0 };
    NamedVersions versions { NamedVersions::One };
    /** Time for which targets work on after their connection has been closed. */
    Duration endDelay { 0 };
};

/**
 * Stand-ins for the platform's list and servers, which write what they run into a ledger; in a thread of their own. Engines differ in the
 * time to the first event, pause, and break off; the connection to one of them neither opens nor fails. Booking servers refuse, lose answers and are others than
 * the list says.
 */
class LedgerTargets {
public:
    static constexpr int engines = 8;
    static constexpr int bookingServers = 3;
    static constexpr int eventsPerStream = 40;

    explicit LedgerTargets(LedgerTargetsSettings settings);
    /** To be called when the processes that keep connections to targets have ended. */
    ~LedgerTargets();

    /** Calls the function with the ledger, while no target writes into it. */
    template <class Function>
    auto withLedger(Function&& function)
    {
        std::scoped_lock lock(mutex_);
        return function(ledger_);
    }
    /** All engines break their streams off. */
    void breakStreams() { ++breaks_; }

private:
    void serve();
    void listen(Loop& loop, const std::string& host, HttpServer::Handler handler);
    /** A listening socket whose queue is full. */
    void openHangingTarget();
    [[nodiscard]] std::string list() const;
    void runStream(const std::string& target, const HttpRequest& request, HttpExchange& exchange);
    void runCharge(const std::string& target, const HttpRequest& request, HttpExchange& exchange);
    /** Waits while the caller is there; false once it has left. */
    bool work(HttpExchange& exchange, Duration time);
    size_t beginRun(const HttpRequest& request, const std::string& target, bool isStream);
    void endRun(size_t run);

    LedgerTargetsSettings settings_;
    std::mutex mutex_;
    RunLedger ledger_;
    std::atomic<int> breaks_ { 0 };
    std::atomic<bool> isServing_ { false };
    std::atomic<bool> isStopping_ { false };
    Loop* loop_ { nullptr };
    const Instant startedAt_ { BootClock::now() };
    std::vector<std::unique_ptr<HttpServer>> servers_;
    std::vector<int> hangingSockets_;
    std::thread thread_;
};

}
