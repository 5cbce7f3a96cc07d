#include "briarhitch/model/Routing.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <set>

namespace briarhitch {

namespace {

    double totalWeight(const Route& route)
    {
        double total = 0;
        for (const auto& service : route.services)
            total += service.weight;
        return total;
    }

    Result<void> checkRoute(const Route& route, const std::set<std::string>& services)
    {
        auto invalid = [&](const std::string& why) { return fail(ErrorKind::BadRequest, "route " + route.name + ": " + why); };
        if (route.host.empty())
            return invalid("the host is empty");
        if (route.pathPrefix.empty() || route.pathPrefix.front() != '/' || route.pathPrefix.back() != '/')
            return invalid("the path prefix does not begin and end with a slash");
        if (route.timeoutMs == 0)
            return invalid("the timeout is zero");
        for (const auto& service : route.services) {
            if (!services.contains(service.service))
                return invalid("unknown service " + service.service);
            if (!std::isfinite(service.weight) || service.weight < 0)
                return invalid("a weight is negative or not finite");
        }
        if (!(totalWeight(route) > 0))
            return invalid("the weights add up to zero");
        return {};
    }

    Result<void> checkCustomers(const Routing& routing)
    {
        std::set<std::string> names;
        std::set<std::string> keys;
        for (const auto& customer : routing.customers) {
            if (customer.name.empty() || !names.insert(customer.name).second)
                return fail(ErrorKind::BadRequest, "a customer has no name, or a name is used twice");
            // A key may be listed twice for the same customer.
            std::set<std::string> distinctHashes(customer.keyHashes.begin(), customer.keyHashes.end());
            for (const auto& key : distinctHashes) {
                if (!keys.insert(key).second)
                    return fail(ErrorKind::BadRequest, "customer " + customer.name + ": a key belongs to another customer too");
            }
        }
        return {};
    }

}

Result<void> checkRouting(const Routing& routing)
{
    if (!routing.version.isValid())
        return fail(ErrorKind::BadRequest, "the version is missing or zero");
    std::set<std::string> services;
    for (const auto& service : routing.services) {
        if (service.name.empty() || !services.insert(service.name).second)
            return fail(ErrorKind::BadRequest, "a service has no name, or a name is used twice");
    }
    std::set<std::pair<std::string, std::string>> routeKeys;
    for (const auto& route : routing.routes) {
        if (auto checked = checkRoute(route, services); !checked)
            return checked;
        if (!routeKeys.emplace(route.host, route.pathPrefix).second)
            return fail(ErrorKind::BadRequest, "two routes have host " + route.host + " and prefix " + route.pathPrefix);
    }
    return checkCustomers(routing);
}

RouteTable::RouteTable(const Routing& routing)
    : routes_(routing.routes)
    , customers_(routing.customers)
{
    for (size_t i = 0; i < routes_.size(); ++i)
        byHost_[routes_[i].host][routes_[i].pathPrefix] = i;
    for (const auto& service : routing.services)
        services_[service.name] = service;
    for (size_t i = 0; i < customers_.size(); ++i) {
        for (const auto& hash : customers_[i].keyHashes)
            customersByKeyHash_[hash] = i;
    }
}

const Route* RouteTable::find(const std::string& host, const std::string& path) const
{
    auto prefixes = byHost_.find(host);
    if (prefixes == byHost_.end())
        return nullptr;
    // Every prefix ends with a slash, so only prefixes of the path that end with a slash can match.
    for (auto slash = path.rfind('/'); slash != std::string::npos; slash = slash == 0 ? std::string::npos : path.rfind('/', slash - 1)) {
        auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return &routes_[found->second];
    }
    return nullptr;
}

const RoutedService* RouteTable::findService(const std::string& name) const
{
    auto it = services_.find(name);
    return it == services_.end() ? nullptr : &it->second;
}

const RoutedCustomer* RouteTable::findCustomerByKeyHash(const std::string& keyHash) const
{
    auto it = customersByKeyHash_.find(keyHash);
    return it == customersByKeyHash_.end() ? nullptr : &customers_[it->second];
}

const std::string& chooseService(const Route& route, double draw)
{
    assert(!route.services.empty() && draw >= 0 && draw < 1);
    double remaining = draw * totalWeight(route);
    for (const auto& service : route.services) {
        remaining -= service.weight;
        if (remaining < 0 && service.weight > 0)
            return service.service;
    }
    // Rounding errors may leave a remainder; it goes to the last service with a positive weight.
    auto last = std::find_if(route.services.rbegin(), route.services.rend(), [](const WeightedService& service) { return service.weight > 0; });
    return last->service;
}

}
