#pragma once

#include "briarhitch/model/ClusterConfig.h"

#include <cstddef>

namespace briarhitch {

size_t encodedSize(const Contract& contract);
size_t encodedSize(const Target& target);
size_t encodedSize(const Routing& routing);
size_t encodedSize(const RoutingPatch& patch);
/** Encoded size of the objects of a delta, without the routing patch. */
size_t encodedSize(const ConfigDelta& delta);
/** Encoded size of all objects. A voter that loads a snapshot must get the same sum as the voters that counted each change. */
size_t encodedSize(const ClusterConfig& config);
size_t encodedRoutingSize(const ClusterConfig& config);
/** Encoded size of the objects that a delta replaces or removes. */
size_t replacedSize(const ClusterConfig& config, const ConfigDelta& delta);

}
