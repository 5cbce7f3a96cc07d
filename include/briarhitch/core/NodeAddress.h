#pragma once

#include "briarhitch/core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarhitch {

/** An IP address and a port. */
struct HostPort {
    std::string host;
    uint16_t port { 0 };

    auto operator<=>(const HostPort&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(host, port);
    }
};

/** Reads "10.1.0.17:8229"; none if the text is anything else. */
std::optional<HostPort> parseHostPort(std::string_view text);

/** In a fleet that forms itself a node's id is its IPv4 address as a number; an invalid id if the text is no such address. */
NodeId nodeIdFromAddress(const std::string& host);
/** The address that nodeIdOfAddress() made into this id. */
std::string addressFromNodeId(NodeId node);

}
