#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace briarhitch {

/** A strongly typed integer id; zero is invalid ("none"). */
template <class Tag, class Rep>
class NumericId {
public:
    using Representation = Rep;

    constexpr NumericId() = default;
    constexpr explicit NumericId(Rep value)
        : value_(value)
    {
    }

    [[nodiscard]] constexpr Rep value() const { return value_; }
    [[nodiscard]] constexpr bool isValid() const { return value_ != 0; }

    constexpr auto operator<=>(const NumericId&) const = default;

    template <class H>
    friend H AbslHashValue(H hash, NumericId id)
    {
        return H::combine(std::move(hash), id.value_);
    }

private:
    Rep value_ { 0 };
};

/** An entry VM or a control VM; assigned in its settings. */
using NodeId = NumericId<struct NodeIdTag, uint32_t>;
/** One run of a process, or one initialization of a disk; later ones are greater. */
using Incarnation = NumericId<struct IncarnationTag, uint64_t>;
using CustomerId = NumericId<struct CustomerIdTag, uint32_t>;
using TargetId = NumericId<struct TargetIdTag, uint32_t>;
using PoolId = NumericId<struct PoolIdTag, uint32_t>;
/** Increases with each assignment of a pool to an owner; also the fencing token of that owner's commands. */
using Epoch = NumericId<struct EpochTag, uint64_t>;
/** Version of a configuration object, or of the whole configuration. */
using Version = NumericId<struct VersionTag, uint64_t>;
using RequestId = NumericId<struct RequestIdTag, uint64_t>;
/** Kind of work for length estimates and floors; a stable hash of its name. */
using WorkKindId = NumericId<struct WorkKindIdTag, uint32_t>;
/** A part of a prompt that several requests may share, as its callers name it. */
using PromptPartId = NumericId<struct PromptPartIdTag, uint64_t>;
/** Digest of what a caller asks for; repeats of a request have the same one under new request ids. */
using RequestDigest = NumericId<struct RequestDigestTag, uint64_t>;
/** Digest of a customer and of the id that its caller gave to the request that began a stream. */
using StreamId = NumericId<struct StreamIdTag, uint64_t>;
/** One connection between own processes, unique within a process. */
using LinkId = NumericId<struct LinkIdTag, uint64_t>;
/** A rollout of a service to a software version; increases with each one. */
using RolloutId = NumericId<struct RolloutIdTag, uint64_t>;

/** One attempt to run a request on a target; numbers start at 1. */
struct AttemptId {
    RequestId request;
    uint8_t number { 0 };

    auto operator<=>(const AttemptId&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(request, number);
    }

    template <class H>
    friend H AbslHashValue(H hash, AttemptId id)
    {
        return H::combine(std::move(hash), id.request, id.number);
    }
};

/** Sixteen hexadecimal digits, as in the X-Request-Id header. */
std::string toString(RequestId id);
/** "REQUEST-NUMBER", as in the X-Request-Id header of a request to a target. */
std::string toString(AttemptId id);
/** Parses the result of toString(RequestId); an invalid id for any other text. */
RequestId parseRequestId(const std::string& text);
/** Hexadecimal, as callers name it. */
std::string toString(PromptPartId id);
/** Sixteen hexadecimal digits. */
std::string toString(RequestDigest digest);

}

template <class Tag, class Rep>
struct std::hash<briarhitch::NumericId<Tag, Rep>> {
    size_t operator()(briarhitch::NumericId<Tag, Rep> id) const noexcept { return std::hash<Rep> {}(id.value()); }
};
