#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhitch {

/** A complete server-sent event. */
struct ServerSentEvent {
    std::optional<uint64_t> id;
    /** The event's bytes, with the blank line that ends it. */
    std::string text;
    /** Contents of its data lines, joined by newlines. */
    std::string data;

    [[nodiscard]] bool isDoneMarker() const { return data == "[DONE]"; }
};

/** Incremental parser that splits the bytes of an event stream into complete events. */
class EventStreamParser {
public:
    /** `keepsComments`: events with neither id nor data are returned too, for relays that must not change the stream. */
    explicit EventStreamParser(bool keepsComments = false)
        : keepsComments_(keepsComments)
    {
    }

    /** The events that these bytes complete. */
    std::vector<ServerSentEvent> feed(std::string_view bytes);
    /** Discards an incomplete event, after its connection was lost. */
    void reset() { buffer_.clear(); }
    /** Size of the incomplete event, in bytes. */
    [[nodiscard]] size_t pendingBytes() const { return buffer_.size(); }
    [[nodiscard]] const std::string& pending() const { return buffer_; }

private:
    bool keepsComments_;
    std::string buffer_;
};

}
