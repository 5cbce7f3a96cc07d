#pragma once

#include "briarhitch/core/Clock.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/model/StreamBinding.h"

#include <absl/container/flat_hash_map.h>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace briarhitch {

/**
 * What streams are bound to, so that callers can continue them. A stream is forgotten some time after it was last recorded. When
 * there are too many, all that were last recorded at the oldest time are forgotten (if all have one time, as many as needed), so
 * that tables with equal content forget the same ones, in whatever order they were filled.
 */
class StreamBindings {
public:
    /** A stream is forgotten this long after the last call of record(). */
    static constexpr Duration retention = std::chrono::minutes(2);
    static constexpr size_t defaultCapacity = 65536;

    explicit StreamBindings(size_t capacity = defaultCapacity)
        : capacity_(capacity)
    {
    }

    /** Keeps the binding that was recorded first, for another retention time. */
    void record(const StreamBinding& stream, Instant now);
    [[nodiscard]] std::optional<StreamBinding> find(StreamId stream, Instant now) const;
    /** Forgets expired streams. */
    void tick(Instant now);
    /** Visits each stream with the time at which it was last recorded, oldest first. */
    void forEach(const std::function<void(Instant, const StreamBinding&)>& visit) const;
    [[nodiscard]] std::vector<StreamBinding> list() const;
    [[nodiscard]] size_t size() const { return streams_.size(); }

private:
    struct Record {
        /** Index in services_. */
        uint32_t service { 0 };
        Instant recordedAt;
    };
    /** Service and software version. */
    using ServiceVersion = std::pair<std::string, std::string>;

    uint32_t serviceIndex(const StreamBinding& binding);
    [[nodiscard]] StreamBinding bindingOf(StreamId stream, const Record& record) const;
    /** Whether it is the last recording of its stream. */
    [[nodiscard]] bool isLast(Instant recordedAt, StreamId stream) const;
    void forgetOldest();

    size_t capacity_;
    absl::flat_hash_map<StreamId, Record> streams_;
    /** Each call of record(), oldest first; a stream that was recorded again is in it more than once. */
    std::deque<std::pair<Instant, StreamId>> order_;
    /** Few, and kept for the life of the table. */
    std::vector<ServiceVersion> services_;
};

}
