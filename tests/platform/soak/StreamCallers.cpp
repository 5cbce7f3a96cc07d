#include "platform/soak/StreamCallers.h"

#include "entry/EventStreamParser.h"
#include "platform/process/PlatformProcesses.h"

namespace briarhitch::platform {

namespace {

    using namespace std::chrono_literals;

    /** Callers continue a stream that has no event for this long. */
    constexpr Duration patience = 600ms;
    constexpr Duration retryPause = 50ms;
    constexpr Duration pauseBetweenRequests = 20ms;
    constexpr Duration chargeTimeout = 3s;
    constexpr int maxTries = 8;
    constexpr size_t chargeCallers = 4;
    constexpr double silentChance = 0.5;
    constexpr double leavesEarlyChance = 0.3;
    constexpr double doubleChance = 0.25;

}

StreamCallers::StreamCallers(StreamCallersSettings settings, LedgerTargets& targets)
    : settings_(std::move(settings))
    , targets_(targets)
    , thread_([this] { run(); })
{
}

StreamCallers::~StreamCallers()
{
    stop();
    isClosing_ = true;
    thread_.join();
}

void StreamCallers::stop()
{
    isStopping_ = true;
    hasStopped_.wait();
}

void StreamCallers::run()
{
    Loop loop;
    HttpClient client(loop);
    loop_ = &loop;
    client_ = &client;
    auto spawn = [&](std::function<void()> body) {
        ++runningFibers_;
        loop.spawn([this, body = std::move(body)] {
            body();
            --runningFibers_;
        });
    };
    for (size_t i = 0; i < settings_.callers; ++i)
        spawn([this, i] { followStreams(settings_.seed * 1000 + i); });
    for (size_t i = 0; i < chargeCallers; ++i)
        spawn([this, i] { sendCharges(settings_.seed * 1000 + settings_.callers + i); });
    loop.spawn([&] {
        while (runningFibers_ > 0)
            sleepFor(loop, 10ms);
        stopped_.set_value();
        while (!isClosing_)
            sleepFor(loop, 10ms);
        silentCalls_.clear();
        loop.stop();
    });
    loop.run();
}

void StreamCallers::followStreams(uint64_t seed)
{
    Random random(seed);
    for (int number = 0; !isStopping_; ++number) {
        followStream(random, "s" + std::to_string(seed) + "-" + std::to_string(number));
        sleepFor(*loop_, pauseBetweenRequests);
    }
}

std::pair<StreamCallers::Call, bool> StreamCallers::open(Random& random, const std::string& id, const Progress& progress)
{
    const auto& entry = pickEntry(random);
    targets_.withLedger([&](RunLedger& ledger) { ledger.recordEntry(id, entry.first); });
    auto headers = PlatformProcesses::requestHeaders(id, "key", 20000);
    if (!progress.firstRequest.empty()) {
        headers.emplace_back("Resumes", progress.firstRequest);
        headers.emplace_back("Last-Event-Id", std::to_string(progress.lastEvent));
    }
    auto settings = PlatformProcesses::callSettings(entry.second, settings_.port, "POST", "/query/1", "body of " + id.substr(0, id.rfind('-')), headers);
    settings.headerTimeout = patience;
    Call call;
    settings.onSending = [&call](const Call& sending) { call = sending; };
    bool hasResponse = client_->start(settings).has_value();
    return { call, hasResponse };
}

void StreamCallers::read(HttpCall& call, const std::string& id, Progress& progress, int maxEvents)
{
    EventStreamParser parser;
    for (int count = 0; count < maxEvents;) {
        auto chunk = call.read(patience);
        if (!chunk || !*chunk) {
            progress.isWhole = chunk && progress.lastEvent == LedgerTargets::eventsPerStream;
            if (chunk && !progress.isWhole)
                violations.push_back("request " + id + " ended as complete after event " + std::to_string(progress.lastEvent));
            return;
        }
        for (const auto& event : parser.feed(**chunk)) {
            if (event.id != static_cast<uint64_t>(progress.lastEvent) + 1)
                violations.push_back("request " + id + " had event " + std::to_string(event.id.value_or(0)) + " after event " + std::to_string(progress.lastEvent));
            if (progress.firstRequest.empty())
                progress.firstRequest = id;
            ++progress.lastEvent;
            ++count;
        }
    }
}

void StreamCallers::followStream(Random& random, const std::string& name)
{
    ++counts.streams;
    Progress progress;
    for (int number = 1; number <= maxTries && !progress.isWhole; ++number) {
        auto id = name + "-" + std::to_string(number);
        bool isContinuation = !progress.firstRequest.empty();
        counts.continuations += isContinuation ? 1 : 0;
        if (isContinuation && random.chance(doubleChance)) {
            ++counts.doubleContinuations;
            ++runningFibers_;
            loop_->spawn([this, id = id + "b", progress, seed = random.next()]() mutable {
                Random other(seed);
                auto [call, hasResponse] = open(other, id, progress);
                if (hasResponse && call->status() == 200)
                    read(*call, id, progress, LedgerTargets::eventsPerStream);
                if (call && !progress.isWhole)
                    silentCalls_.push_back(call);
                --runningFibers_;
            });
        }
        auto [call, hasResponse] = open(random, id, progress);
        bool isRefused = hasResponse && call->status() != 200;
        if (hasResponse && !isRefused)
            read(*call, id, progress, random.chance(leavesEarlyChance) ? 1 + static_cast<int>(random.below(LedgerTargets::eventsPerStream)) : LedgerTargets::eventsPerStream + 1);
        if (progress.isWhole || !call)
            continue;
        if (isRefused)
            sleepFor(*loop_, retryPause);
        if (random.chance(silentChance)) {
            counts.silentContinuations += progress.firstRequest.empty() ? 0 : 1;
            silentCalls_.push_back(call);
        } else {
            call->cancel();
        }
    }
    counts.wholeStreams += progress.isWhole ? 1 : 0;
}

void StreamCallers::sendCharges(uint64_t seed)
{
    Random random(seed);
    for (int number = 0; !isStopping_; ++number) {
        auto id = "c" + std::to_string(seed) + "-" + std::to_string(number);
        auto settings = PlatformProcesses::callSettings(pickEntry(random).second, settings_.port, "POST", "/charge/1", id, PlatformProcesses::requestHeaders(id, "key", 2500));
        settings.headerTimeout = chargeTimeout;
        ++counts.charges;
        auto response = fetch(*client_, settings);
        counts.paidCharges += response && response->status == 200 ? 1 : 0;
        for (int promise : { 408, 421, 429, 503 }) {
            if (response && response->status == promise)
                targets_.withLedger([&](RunLedger& ledger) { ledger.recordNotRun(id); });
        }
        sleepFor(*loop_, pauseBetweenRequests);
    }
}

}
