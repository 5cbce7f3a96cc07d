#pragma once

#include "briarhitch/model/Routing.h"

#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/** Where a route applies; no two routes of a document share it. */
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

/** What turns one routing document into the next one. A change of one route costs its bytes, not those of the document. */
struct RoutingPatch {
    Version from;
    Version to;
    /** New and changed ones. */
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

/** The same document with its parts in the one order that patches keep: by place or name. */
Routing inCanonicalOrder(Routing routing);
/** Both documents must be in canonical order. */
RoutingPatch patchBetween(const Routing& from, const Routing& to);
/** False, and nothing is changed, if the patch begins at another version. */
bool applyPatch(Routing& routing, const RoutingPatch& patch);

}
