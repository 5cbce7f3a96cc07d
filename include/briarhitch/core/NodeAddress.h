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

/** Parses an address such as "10.1.0.17:8229"; none for any other text. */
std::optional<HostPort> parseHostPort(std::string_view text);

/** The node id in a self-forming fleet: the IPv4 address as a number; an invalid id if the text is not an IPv4 address. */
NodeId nodeIdFromAddress(const std::string& host);
/** The IPv4 address from which nodeIdFromAddress() made this id. */
std::string addressFromNodeId(NodeId node);

}
