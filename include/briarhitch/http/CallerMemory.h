#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/http/MemoryBudget.h"

#include <functional>
#include <memory>
#include <string_view>

namespace briarhitch {

class MetricRegistry;
class ReadAdmission;
enum class ReadDecision : uint8_t;
struct MemorySettings;

/** The budget of a process and its rules, shared by all servers of the process. */
class CallerMemory : public std::enable_shared_from_this<CallerMemory> {
public:
    /** `metrics` may be null, and must otherwise outlive this object. */
    explicit CallerMemory(const MemoryLimits& limits, MetricRegistry* metrics = nullptr);
    ~CallerMemory();
    CallerMemory(const CallerMemory&) = delete;
    CallerMemory& operator=(const CallerMemory&) = delete;

    /** With the limits of this machine where the settings leave them open. */
    static std::shared_ptr<CallerMemory> create(const MemorySettings& settings, MetricRegistry& metrics);

    [[nodiscard]] MemoryCharge makeCharge(MemoryPurpose purpose) const { return { budget_, purpose }; }
    [[nodiscard]] const MemoryBudget& budget() const { return *budget_; }

    /** The hook must return the holder's charges and close its connection; it is called at most once. */
    uint64_t addHolder(std::function<void()> evict);
    void removeHolder(uint64_t holder);
    void recordProgress(uint64_t holder, size_t bytes);
    /** The hook closes an idle connection and returns its charge; false if there is none. */
    uint64_t addIdleConnections(std::function<bool()> closeOne);
    void removeIdleConnections(uint64_t id);
    [[nodiscard]] Duration timeLeft(uint64_t holder, Duration allowed) const;
    /** Charges `bytes` more, if need be after closing holders that stand still; ReadDecision says how the caller goes on. */
    ReadDecision reserve(uint64_t holder, MemoryCharge& charge, size_t bytes, bool isSmall);
    /** As reserve(), for what cannot wait; false if there is no room. */
    bool reserveNow(uint64_t holder, MemoryCharge& charge, size_t bytes, bool isSmall);
    /** Closes the holder that has held most for longest with the least progress; false if none stands still. */
    bool evictOne(uint64_t asking = 0);

    /** Makes room for a small request or a new connection; false if nothing can be closed. */
    bool closeOne(uint64_t asking = 0);

    void countRefused(std::string_view reason);
    void countClosed(std::string_view reason);
    void publishGauges();

private:
    struct Impl;
    std::shared_ptr<MemoryBudget> budget_;
    std::unique_ptr<Impl> impl_;
};

/** Registers a holder for the life of this object. */
class MemoryHolder {
public:
    MemoryHolder(std::shared_ptr<CallerMemory> memory, std::function<void()> evict)
        : memory_(std::move(memory))
        , id_(memory_->addHolder(std::move(evict)))
    {
    }
    ~MemoryHolder() { memory_->removeHolder(id_); }
    MemoryHolder(const MemoryHolder&) = delete;
    MemoryHolder& operator=(const MemoryHolder&) = delete;

    [[nodiscard]] uint64_t id() const { return id_; }

private:
    std::shared_ptr<CallerMemory> memory_;
    uint64_t id_;
};

}
