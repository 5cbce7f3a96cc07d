#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhitch {

/** One whole server-sent event. */
struct ServerSentEvent {
    std::optional<uint64_t> id;
    /** The event's bytes, with the blank line that ends it. */
    std::string text;
    /** Content of its data lines. */
    std::string data;

    [[nodiscard]] bool isDoneMarker() const { return data == "[DONE]"; }
};

/** Cuts the bytes of an event stream into whole events. */
class EventStreamParser {
public:
    /** `keepsComments`: events without an id or data are returned too, for relays that must not change the stream. */
    explicit EventStreamParser(bool keepsComments = false)
        : keepsComments_(keepsComments)
    {
    }

    /** The events that these bytes complete. */
    std::vector<ServerSentEvent> feed(std::string_view bytes);
    /** Forgets a part of an event, after its connection was lost. */
    void reset() { buffer_.clear(); }
    /** Bytes of an event that is not complete. */
    [[nodiscard]] size_t pendingBytes() const { return buffer_.size(); }
    [[nodiscard]] const std::string& pending() const { return buffer_; }

private:
    bool keepsComments_;
    std::string buffer_;
};

}
