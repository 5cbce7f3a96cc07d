#include "briarhitch/http/MemoryBudget.h"

#include "briarhitch/settings/MemorySettings.h"

#include <algorithm>
#include <fstream>
#include <string>
#include <utility>

namespace briarhitch {

namespace {

    constexpr size_t mib = 1024 * 1024;
    /** Memory of a loaded process apart from what it holds for callers. */
    constexpr size_t processBytes = 45 * mib;
    /** Room for three bodies of the largest legal size and the reserve. */
    constexpr size_t minRequestBytes = 16 * mib;
    /** Ten bodies of the largest legal size at once with room for their connections; more would only hide a slow target. */
    constexpr size_t maxRequestBytes = 48 * mib;

}

std::string_view toString(MemoryPurpose purpose)
{
    static constexpr std::array<std::string_view, memoryPurposeCount> names { "connection", "header", "request_body", "response" };
    return names.at(static_cast<size_t>(purpose));
}

MemoryLimits deriveMemoryLimits(const MemorySettings& settings, size_t machineBytes)
{
    // A quarter of what the process leaves free is kept for fragmentation and the kernel's socket buffers.
    size_t freeBytes = machineBytes - std::min(machineBytes, processBytes);
    MemoryLimits limits;
    limits.requestBytes = settings.requestBytes.value_or(std::clamp(freeBytes / 4 * 3, minRequestBytes, maxRequestBytes));
    limits.reservedBytes = std::min(settings.reservedBytes.value_or(limits.requestBytes / 8), limits.requestBytes / 2);
    return limits;
}

size_t machineMemoryBytes()
{
    std::ifstream file("/proc/meminfo");
    std::string name;
    size_t kilobytes = 0;
    if (file >> name >> kilobytes && name == "MemTotal:")
        return kilobytes * 1024;
    return 0;
}

MemoryBudget::MemoryBudget(const MemoryLimits& limits)
    : limits_(limits)
{
}

bool MemoryBudget::charge(MemoryPurpose purpose, size_t bytes, bool mayUseReserve)
{
    size_t limit = mayUseReserve ? limits_.requestBytes : limits_.requestBytes - limits_.reservedBytes;
    if (heldBytes_ > limit || bytes > limit - heldBytes_)
        return false;
    heldBytes_ += bytes;
    heldByPurpose_.at(static_cast<size_t>(purpose)) += bytes;
    return true;
}

void MemoryBudget::release(MemoryPurpose purpose, size_t bytes)
{
    heldBytes_ -= bytes;
    heldByPurpose_.at(static_cast<size_t>(purpose)) -= bytes;
}

size_t MemoryBudget::heldBytes(MemoryPurpose purpose) const
{
    return heldByPurpose_.at(static_cast<size_t>(purpose));
}

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryBudget> budget, MemoryPurpose purpose)
    : budget_(std::move(budget))
    , purpose_(purpose)
{
}

MemoryCharge::~MemoryCharge()
{
    shrinkTo(0);
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : budget_(std::move(other.budget_))
    , purpose_(other.purpose_)
    , bytes_(std::exchange(other.bytes_, 0))
{
}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept
{
    if (this != &other) {
        shrinkTo(0);
        budget_ = std::move(other.budget_);
        purpose_ = other.purpose_;
        bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
}

bool MemoryCharge::grow(size_t bytes, bool mayUseReserve)
{
    if (budget_ && !budget_->charge(purpose_, bytes, mayUseReserve))
        return false;
    bytes_ += bytes;
    return true;
}

void MemoryCharge::shrinkTo(size_t bytes)
{
    if (bytes >= bytes_)
        return;
    if (budget_)
        budget_->release(purpose_, bytes_ - bytes);
    bytes_ = bytes;
}

}
