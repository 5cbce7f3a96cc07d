#include "briarhitch/http/CallerMemory.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Descriptors.h"
#include "briarhitch/settings/MemorySettings.h"
#include "http/ReadAdmission.h"

#include <algorithm>
#include <malloc.h>
#include <map>
#include <string>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Larger blocks are returned to the system when they are freed. The C library would raise this limit after the first such block. */
    constexpr int mmapThresholdBytes = 256 * 1024;
    constexpr Duration logInterval = 1s;

    const Log& memoryLog()
    {
        static const Log log("http:");
        return log;
    }

    std::string labelOf(std::string_view name, std::string_view value)
    {
        return std::string(name) + "=\"" + std::string(value) + "\"";
    }

}

struct CallerMemory::Impl {
    explicit Impl(MetricRegistry* metricsToUse)
        : metrics(metricsToUse)
    {
    }

    MetricRegistry* metrics;
    ReadAdmission admission { ReadAdmissionSettings {} };
    std::map<HolderId, std::function<void()>> evictHooks;
    std::map<uint64_t, std::function<bool()>> idleHooks;
    uint64_t lastIdleId { 0 };
    Instant lastLoggedAt {};

    void count(const char* metric, std::string_view reason) const
    {
        if (metrics != nullptr)
            metrics->count(metric, labelOf("reason", reason));
    }
};

CallerMemory::CallerMemory(const MemoryLimits& limits, MetricRegistry* metrics)
    : budget_(std::make_shared<MemoryBudget>(limits))
    , impl_(std::make_unique<Impl>(metrics))
{
}

CallerMemory::~CallerMemory() = default;

std::shared_ptr<CallerMemory> CallerMemory::create(const MemorySettings& settings, MetricRegistry& metrics)
{
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    auto limits = deriveMemoryLimits(settings, machineMemoryBytes());
    memoryLog().info("holds at most " + std::to_string(limits.requestBytes) + " bytes for callers, of which " + std::to_string(limits.reservedBytes) + " are for small requests");
    return std::make_shared<CallerMemory>(limits, &metrics);
}

uint64_t CallerMemory::addHolder(std::function<void()> evict)
{
    auto holder = impl_->admission.add(BootClock::now());
    impl_->evictHooks.emplace(holder, std::move(evict));
    return holder;
}

void CallerMemory::removeHolder(uint64_t holder)
{
    impl_->admission.remove(holder);
    impl_->evictHooks.erase(holder);
}

uint64_t CallerMemory::addIdleConnections(std::function<bool()> closeOne)
{
    impl_->idleHooks.emplace(++impl_->lastIdleId, std::move(closeOne));
    return impl_->lastIdleId;
}

void CallerMemory::removeIdleConnections(uint64_t id)
{
    impl_->idleHooks.erase(id);
}

void CallerMemory::recordProgress(uint64_t holder, size_t bytes)
{
    impl_->admission.recordProgress(holder, bytes, BootClock::now());
}

Duration CallerMemory::timeLeft(uint64_t holder, Duration allowed) const
{
    return impl_->admission.timeLeft(holder, allowed, BootClock::now());
}

bool CallerMemory::reserveNow(uint64_t holder, MemoryCharge& charge, size_t bytes, bool isSmall)
{
    bool hasRoom = charge.grow(bytes, isSmall);
    // A large request does not close the idle connections of others: it would take hundreds of them.
    while (!hasRoom && (isSmall ? closeOne(holder) : evictOne(holder)))
        hasRoom = charge.grow(bytes, isSmall);
    if (hasRoom)
        impl_->admission.addHeld(holder, bytes);
    return hasRoom;
}

ReadDecision CallerMemory::reserve(uint64_t holder, MemoryCharge& charge, size_t bytes, bool isSmall)
{
    bool hasRoom = (isSmall || impl_->admission.isNext(holder)) && reserveNow(holder, charge, bytes, isSmall);
    auto now = BootClock::now();
    auto decision = impl_->admission.decide(holder, hasRoom, isSmall, now);
    if (decision != ReadDecision::Proceed && now - impl_->lastLoggedAt >= logInterval) {
        impl_->lastLoggedAt = now;
        memoryLog().warning("callers hold " + std::to_string(budget_->heldBytes()) + " of " + std::to_string(budget_->limits().requestBytes) + " bytes; further requests wait or are refused");
    }
    return decision;
}

bool CallerMemory::evictOne(uint64_t asking)
{
    auto victim = impl_->admission.victim(asking, BootClock::now());
    if (!victim)
        return false;
    auto hook = std::move(impl_->evictHooks.at(*victim));
    impl_->admission.forgetHeld(*victim);
    countClosed("no_progress");
    hook();
    return true;
}

bool CallerMemory::closeOne(uint64_t asking)
{
    if (evictOne(asking))
        return true;
    return std::any_of(impl_->idleHooks.begin(), impl_->idleHooks.end(), [](const auto& entry) { return entry.second(); });
}

void CallerMemory::countRefused(std::string_view reason)
{
    impl_->count("http_refused_total", reason);
}

void CallerMemory::countClosed(std::string_view reason)
{
    impl_->count("http_closed_total", reason);
}

void CallerMemory::publishGauges()
{
    if (impl_->metrics == nullptr)
        return;
    for (auto purpose : { MemoryPurpose::Connection, MemoryPurpose::Header, MemoryPurpose::RequestBody, MemoryPurpose::Response })
        impl_->metrics->setGauge("http_held_bytes", labelOf("purpose", toString(purpose)), static_cast<double>(budget_->heldBytes(purpose)));
    impl_->metrics->setGauge("http_budget_bytes", {}, static_cast<double>(budget_->limits().requestBytes));
    impl_->metrics->setGauge("process_open_descriptors", {}, static_cast<double>(openDescriptors()));
    impl_->metrics->setGauge("process_descriptor_limit", {}, static_cast<double>(descriptorLimit()));
}

}
