#include "entry/EventStreamParser.h"

#include <algorithm>
#include <charconv>

namespace briarhitch {

namespace {

    /** Position after the blank line that ends the first event; npos if there is none. */
    size_t endOfEvent(std::string_view text)
    {
        auto lfEnd = text.find("\n\n");
        auto crlfEnd = text.find("\r\n\r\n");
        if (lfEnd == std::string_view::npos && crlfEnd == std::string_view::npos)
            return std::string_view::npos;
        if (lfEnd < crlfEnd)
            return lfEnd + 2;
        return crlfEnd + 4;
    }

    std::string_view valueOf(std::string_view line, std::string_view field)
    {
        line.remove_prefix(field.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        return line;
    }

    std::optional<uint64_t> readNumber(std::string_view text)
    {
        uint64_t number = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    void readLine(ServerSentEvent& event, std::string_view line)
    {
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        if (line.starts_with("id:")) {
            event.id = readNumber(valueOf(line, "id:"));
        } else if (line.starts_with("data:")) {
            if (!event.data.empty())
                event.data += '\n';
            event.data += valueOf(line, "data:");
        }
    }

    ServerSentEvent parseEvent(std::string_view text)
    {
        ServerSentEvent event;
        event.text = text;
        while (!text.empty()) {
            auto end = std::min(text.find('\n'), text.size());
            readLine(event, text.substr(0, end));
            text.remove_prefix(std::min(end + 1, text.size()));
        }
        return event;
    }

}

std::vector<ServerSentEvent> EventStreamParser::feed(std::string_view bytes)
{
    buffer_ += bytes;
    std::vector<ServerSentEvent> events;
    std::string_view rest(buffer_);
    for (auto end = endOfEvent(rest); end != std::string_view::npos; end = endOfEvent(rest)) {
        auto event = parseEvent(rest.substr(0, end));
        rest.remove_prefix(end);
        if (keepsComments_ || event.id || !event.data.empty())
            events.push_back(std::move(event));
    }
    buffer_.erase(0, buffer_.size() - rest.size());
    return events;
}

}
