#pragma once

#include "briarhitch/model/Routing.h"

#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** Identifies a route; unique in a routing document. */
struct RouteKey {
    std::string host;
    std::string pathPrefix;

    bool operator==(const RouteKey&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(host, pathPrefix);
    }
};

/** The difference between two routing documents: its size depends on what changed, not on the size of the document. */
struct RoutingPatch {
    Version from;
    Version to;
    /** New and changed routes. */
    std::vector<Route> routes;
    std::vector<RouteKey> removedRoutes;
    std::vector<RoutedService> services;
    std::vector<std::string> removedServices;
    std::optional<CallerLimits> limits;
    bool hasCustomers { false };
    std::vector<RoutedCustomer> customers;
    std::vector<std::string> removedCustomers;

    bool operator==(const RoutingPatch&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(from, to, routes, removedRoutes, services, removedServices, limits, hasCustomers, customers, removedCustomers);
    }
};

/** The same document, sorted as patches need it: routes by host and path prefix, services and customers by name. */
Routing inCanonicalOrder(Routing routing);
/** The patch that turns one document into the other; both must be in canonical order. */
RoutingPatch patchBetween(const Routing& from, const Routing& to);
/** Returns false and changes nothing if the patch is based on another version. */
bool applyPatch(Routing& routing, const RoutingPatch& patch);

}
