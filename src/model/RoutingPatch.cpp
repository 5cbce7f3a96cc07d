#include "briarhitch/model/RoutingPatch.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace briarhitch {

namespace {

    RouteKey keyOf(const Route& route) { return { route.host, route.pathPrefix }; }
    const std::string& keyOf(const RoutedService& service) { return service.name; }
    const std::string& keyOf(const RoutedCustomer& customer) { return customer.name; }

    bool isBefore(const RouteKey& left, const RouteKey& right)
    {
        return std::tie(left.host, left.pathPrefix) < std::tie(right.host, right.pathPrefix);
    }
    bool isBefore(const std::string& left, const std::string& right) { return left < right; }

    template <class T>
    void sortByKey(std::vector<T>& items)
    {
        std::stable_sort(items.begin(), items.end(), [](const T& left, const T& right) { return isBefore(keyOf(left), keyOf(right)); });
    }

    template <class T, class Key>
    auto findByKey(std::vector<T>& items, const Key& key)
    {
        auto it = std::lower_bound(items.begin(), items.end(), key, [](const T& item, const Key& wanted) { return isBefore(keyOf(item), wanted); });
        return std::pair(it, it != items.end() && keyOf(*it) == key);
    }

    /** Compares two sorted lists in one pass. */
    template <class T, class Key>
    void diff(const std::vector<T>& from, const std::vector<T>& to, std::vector<T>& changed, std::vector<Key>& removed)
    {
        auto old = from.begin();
        for (const auto& item : to) {
            for (; old != from.end() && isBefore(keyOf(*old), keyOf(item)); ++old)
                removed.push_back(keyOf(*old));
            bool isSame = old != from.end() && *old == item;
            if (old != from.end() && keyOf(*old) == keyOf(item))
                ++old;
            if (!isSame)
                changed.push_back(item);
        }
        for (; old != from.end(); ++old)
            removed.push_back(keyOf(*old));
    }

    template <class T, class Key>
    void apply(std::vector<T>& items, const std::vector<T>& changed, const std::vector<Key>& removed)
    {
        for (const auto& key : removed) {
            if (auto [it, isFound] = findByKey(items, key); isFound)
                items.erase(it);
        }
        for (const auto& item : changed) {
            auto [it, isFound] = findByKey(items, keyOf(item));
            if (isFound)
                *it = item;
            else
                items.insert(it, item);
        }
    }

}

Routing inCanonicalOrder(Routing routing)
{
    sortByKey(routing.routes);
    sortByKey(routing.services);
    sortByKey(routing.customers);
    return routing;
}

RoutingPatch patchBetween(const Routing& from, const Routing& to)
{
    RoutingPatch patch;
    patch.from = from.version;
    patch.to = to.version;
    diff(from.routes, to.routes, patch.routes, patch.removedRoutes);
    diff(from.services, to.services, patch.services, patch.removedServices);
    diff(from.customers, to.customers, patch.customers, patch.removedCustomers);
    if (from.limits != to.limits)
        patch.limits = to.limits;
    patch.hasCustomers = to.hasCustomers;
    return patch;
}

bool applyPatch(Routing& routing, const RoutingPatch& patch)
{
    if (routing.version != patch.from)
        return false;
    apply(routing.routes, patch.routes, patch.removedRoutes);
    apply(routing.services, patch.services, patch.removedServices);
    apply(routing.customers, patch.customers, patch.removedCustomers);
    if (patch.limits)
        routing.limits = *patch.limits;
    routing.hasCustomers = patch.hasCustomers;
    routing.version = patch.to;
    return true;
}

}
