#include "platform/soak/LedgerTargets.h"

#include "briarhitch/core/Digest.h"

#include <arpa/inet.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace briarhitch::platform {

namespace {

    using namespace std::chrono_literals;
    using Json = nlohmann::json;

    constexpr int listHost = 50;
    constexpr int firstHost = 60;
    constexpr int slots = 12;
    constexpr Duration pollInterval = 10ms;
    constexpr Duration pauseTime = 3s;
    constexpr Duration chargeTime = 20ms;
    /** From one target's change of version to the next one's. */
    constexpr Duration versionChangeInterval = 1s;

    int openTcpSocket()
    {
        return ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    }

}

LedgerTargets::LedgerTargets(LedgerTargetsSettings settings)
    : settings_(std::move(settings))
{
    openHangingTarget();
    thread_ = std::thread([this] { serve(); });
    while (!isServing_)
        std::this_thread::yield();
}

LedgerTargets::~LedgerTargets()
{
    isStopping_ = true;
    thread_.join();
    for (int socket : hangingSockets_)
        ::close(socket);
}

void LedgerTargets::serve()
{
    Loop loop;
    loop_ = &loop;
    loop.spawn([&] {
        listen(loop, settings_.addressPrefix + std::to_string(listHost), [this](const HttpRequest&, HttpExchange& exchange) { exchange.send(200, { { "Content-Type", "application/json" } }, list()); });
        for (int i = 0; i < engines + bookingServers; ++i) {
            bool isEngine = i < engines;
            auto name = "i-" + std::to_string(i);
            listen(loop, settings_.addressPrefix + std::to_string(firstHost + i), [this, isEngine, name](const HttpRequest& request, HttpExchange& exchange) {
                if (isEngine)
                    runStream(name, request, exchange);
                else
                    runCharge(name, request, exchange);
            });
        }
        isServing_ = true;
        while (!isStopping_)
            sleepFor(loop, pollInterval);
        // The thread cannot end before its fibers.
        servers_.clear();
        while (loop.fiberCount() > 1)
            sleepFor(loop, pollInterval);
        loop.stop();
    });
    loop.run();
}

void LedgerTargets::listen(Loop& loop, const std::string& host, HttpServer::Handler handler)
{
    HttpServerSettings settings;
    settings.host = host;
    settings.port = settings_.port;
    if (auto server = HttpServer::listen(loop, settings, std::move(handler)))
        servers_.push_back(std::move(*server));
}

void LedgerTargets::openHangingTarget()
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(settings_.port);
    ::inet_pton(AF_INET, (settings_.addressPrefix + std::to_string(firstHost + engines + bookingServers)).c_str(), &address.sin_addr);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    hangingSockets_.push_back(openTcpSocket());
    if (::bind(hangingSockets_.back(), generic, sizeof(address)) != 0 || ::listen(hangingSockets_.back(), 0) != 0)
        throw std::runtime_error("cannot listen at the address of the target that does not accept connections");
    constexpr int connectionsThatFillTheQueue = 4;
    for (int i = 0; i < connectionsThatFillTheQueue; ++i) {
        hangingSockets_.push_back(openTcpSocket());
        // Does not wait, so there is no result yet.
        (void)::connect(hangingSockets_.back(), generic, sizeof(address));
    }
}

std::string LedgerTargets::list() const
{
    Json instances = Json::array();
    auto changed = (BootClock::now() - startedAt_) / versionChangeInterval;
    for (int i = 0; i <= engines + bookingServers; ++i) {
        bool isBooking = i >= engines && i < engines + bookingServers;
        Json instance { { "id", "i-" + std::to_string(i) }, { "service", isBooking ? "shop" : "llm" }, { "address", settings_.addressPrefix + std::to_string(firstHost + i) + ":" + std::to_string(settings_.port) },
            { "zone", "a" }, { "slots", slots }, { "state", "ready" } };
        if (settings_.versions != NamedVersions::None)
            instance["version"] = settings_.versions == NamedVersions::Changing && i % engines < changed ? "v2" : "v1";
        instances.push_back(std::move(instance));
    }
    return Json { { "instances", instances }, { "next", nullptr } }.dump();
}

size_t LedgerTargets::beginRun(const HttpRequest& request, const std::string& target, bool isStream)
{
    std::string id(request.header("Briarhitch-Request-Id"));
    std::string resumed(request.header("Resumes"));
    LedgerRun run { id, isStream ? (resumed.empty() ? id : resumed) : "", target, isStream, BootClock::now() };
    return withLedger([&](RunLedger& ledger) { return ledger.begin(std::move(run)); });
}

void LedgerTargets::endRun(size_t run)
{
    if (settings_.endDelay > Duration::zero())
        sleepFor(*loop_, settings_.endDelay);
    withLedger([&](RunLedger& ledger) { ledger.end(run, BootClock::now()); });
}

bool LedgerTargets::work(HttpExchange& exchange, Duration time)
{
    for (auto end = BootClock::now() + time; BootClock::now() < end && !exchange.isCallerDisconnected() && !isStopping_;)
        sleepFor(*loop_, std::min<Duration>(pollInterval, std::max<Duration>(end - BootClock::now(), 1ms)));
    return !exchange.isCallerDisconnected() && !isStopping_;
}

void LedgerTargets::runStream(const std::string& target, const HttpRequest& request, HttpExchange& exchange)
{
    auto run = beginRun(request, target, true);
    Random random(settings_.seed ^ stableHash(std::string(request.header("Briarhitch-Request-Id")) + target));
    constexpr Duration firstEventDelays[] { 20ms, 300ms, 1s };
    constexpr Duration eventDelays[] { 25ms, 25ms, 100ms };
    auto eventDelay = eventDelays[random.below(std::size(eventDelays))];
    constexpr double breakChance = 0.1;
    constexpr double pauseChance = 0.08;
    int breaksAfter = random.chance(breakChance) ? 1 + static_cast<int>(random.below(eventsPerStream)) : -1;
    int pausesAfter = random.chance(pauseChance) ? 1 + static_cast<int>(random.below(eventsPerStream)) : -1;
    int breaksBefore = breaks_;
    auto lastEvent = request.header("Last-Event-Id");
    int id = lastEvent.empty() ? 0 : std::stoi(std::string(lastEvent));
    bool isRunning = work(exchange, firstEventDelays[random.below(std::size(firstEventDelays))])
        && exchange.beginStream(200, { { "Briarhitch-Request-Id", std::string(request.header("Briarhitch-Request-Id")) }, { "Briarhitch-Response-Stamp", "s" }, { "Content-Type", "text/event-stream" } });
    while (isRunning && id < eventsPerStream && id != breaksAfter && breaks_ == breaksBefore) {
        ++id;
        isRunning = exchange.write("id: " + std::to_string(id) + "\ndata: x\n\n") && work(exchange, id == pausesAfter ? pauseTime : eventDelay);
    }
    if (isRunning && id >= eventsPerStream)
        exchange.endStream();
    else
        exchange.abort();
    endRun(run);
}

void LedgerTargets::runCharge(const std::string& target, const HttpRequest& request, HttpExchange& exchange)
{
    enum Behaviour : uint8_t { Answers,
        AnswersSlowly,
        RefusesOnce,
        IsAnotherTarget,
        LosesTheAnswer,
        ClosesUnread,
        BehaviourCount };
    std::string id(request.header("Briarhitch-Request-Id"));
    Random random(settings_.seed ^ stableHash(id + target));
    auto behaviour = static_cast<Behaviour>(random.below(BehaviourCount));
    HttpHeaders headers { { "Briarhitch-Request-Id", id } };
    if (behaviour == RefusesOnce || behaviour == IsAnotherTarget) {
        headers.emplace_back("Briarhitch-Not-Run", "1");
        exchange.send(behaviour == RefusesOnce ? 503 : 421, headers, "");
        return;
    }
    if (behaviour == ClosesUnread) {
        exchange.abort();
        return;
    }
    auto run = beginRun(request, target, false);
    sleepFor(*loop_, behaviour == AnswersSlowly ? 10 * chargeTime : chargeTime);
    headers.emplace_back("Briarhitch-Response-Stamp", "s");
    if (behaviour == LosesTheAnswer)
        exchange.abort();
    else
        exchange.send(200, headers, "paid");
    endRun(run);
}

}
