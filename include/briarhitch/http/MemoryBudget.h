#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace briarhitch {

struct MemorySettings;

/** What bytes are held for. */
enum class MemoryPurpose : uint8_t {
    Connection,
    Header,
    RequestBody,
    Response,
};
constexpr size_t memoryPurposeCount = 4;

std::string_view toString(MemoryPurpose purpose);

struct MemoryLimits {
    size_t requestBytes { 0 };
    /** Part of requestBytes that only small requests may use. */
    size_t reservedBytes { 0 };
};

/** The settings, and for what they leave open the defaults for a machine with this much memory. */
MemoryLimits deriveMemoryLimits(const MemorySettings& settings, size_t machineBytes);
/** MemTotal of /proc/meminfo; zero if it cannot be read. */
size_t machineMemoryBytes();

/** The account of the bytes that a process holds for others. */
class MemoryBudget {
public:
    explicit MemoryBudget(const MemoryLimits& limits);

    /** False if there is no room; only small requests may use the reserve. */
    [[nodiscard]] bool charge(MemoryPurpose purpose, size_t bytes, bool mayUseReserve);
    void release(MemoryPurpose purpose, size_t bytes);
    [[nodiscard]] size_t heldBytes() const { return heldBytes_; }
    [[nodiscard]] size_t heldBytes(MemoryPurpose purpose) const;
    [[nodiscard]] const MemoryLimits& limits() const { return limits_; }

private:
    MemoryLimits limits_;
    size_t heldBytes_ { 0 };
    std::array<size_t, memoryPurposeCount> heldByPurpose_ {};
};

/** A charge of a budget; returned at the latest when the object is destroyed. */
class MemoryCharge {
public:
    MemoryCharge() = default;
    MemoryCharge(std::shared_ptr<MemoryBudget> budget, MemoryPurpose purpose);
    ~MemoryCharge();
    MemoryCharge(MemoryCharge&& other) noexcept;
    MemoryCharge& operator=(MemoryCharge&& other) noexcept;
    MemoryCharge(const MemoryCharge&) = delete;
    MemoryCharge& operator=(const MemoryCharge&) = delete;

    /** False, without a change, if there is no room. */
    [[nodiscard]] bool grow(size_t bytes, bool mayUseReserve);
    void shrinkTo(size_t bytes);
    [[nodiscard]] size_t bytes() const { return bytes_; }

private:
    std::shared_ptr<MemoryBudget> budget_;
    MemoryPurpose purpose_ { MemoryPurpose::Connection };
    size_t bytes_ { 0 };
};

}
