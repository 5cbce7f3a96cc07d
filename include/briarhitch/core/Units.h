#pragma once

#include <compare>
#include <cstdint>
#include <utility>

namespace briarhitch {

/** A strongly typed count; only counts of the same type can be added or subtracted. */
template <class Tag, class Rep>
class Quantity {
public:
    using Representation = Rep;

    constexpr Quantity() = default;
    constexpr explicit Quantity(Rep value)
        : value_(value)
    {
    }

    [[nodiscard]] constexpr Rep value() const { return value_; }
    constexpr auto operator<=>(const Quantity&) const = default;

    constexpr Quantity& operator+=(Quantity other)
    {
        value_ += other.value_;
        return *this;
    }
    constexpr Quantity& operator-=(Quantity other)
    {
        value_ -= other.value_;
        return *this;
    }
    friend constexpr Quantity operator+(Quantity left, Quantity right) { return Quantity(left.value_ + right.value_); }
    friend constexpr Quantity operator-(Quantity left, Quantity right) { return Quantity(left.value_ - right.value_); }

private:
    Rep value_ { 0 };
};

/** Tokens of a prompt or of an output. */
using Tokens = Quantity<struct TokensTag, int64_t>;

/** Requests per second. */
using RequestRate = Quantity<struct RequestRateTag, double>;

/** Urgency of work: 0 is the most urgent, 3 the least. */
class Tier {
public:
    static constexpr uint8_t count = 4;

    constexpr Tier() = default;
    /** Values above 3 become 3. */
    constexpr explicit Tier(uint8_t value)
        : value_(value < count ? value : count - 1)
    {
    }

    [[nodiscard]] constexpr uint8_t value() const { return value_; }
    [[nodiscard]] constexpr bool isMoreUrgentThan(Tier other) const { return value_ < other.value_; }
    constexpr auto operator<=>(const Tier&) const = default;

    template <class H>
    friend H AbslHashValue(H hash, Tier tier)
    {
        return H::combine(std::move(hash), tier.value_);
    }

private:
    uint8_t value_ { count - 1 };
};

}
