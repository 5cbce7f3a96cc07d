#include "briarhitch/core/NodeAddress.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>

namespace briarhitch {

std::optional<HostPort> parseHostPort(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    HostPort address;
    address.host = std::string(text.substr(0, colon));
    auto port = text.substr(colon + 1);
    auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), address.port);
    bool isValidPort = error == std::errc() && end == port.data() + port.size() && address.port != 0;
    if (!isValidPort || !nodeIdFromAddress(address.host).isValid())
        return std::nullopt;
    return address;
}

NodeId nodeIdFromAddress(const std::string& host)
{
    boost::system::error_code error;
    auto address = boost::asio::ip::make_address_v4(host, error);
    return error ? NodeId() : NodeId(address.to_uint());
}

std::string addressFromNodeId(NodeId node)
{
    return boost::asio::ip::address_v4(node.value()).to_string();
}

}
