#pragma once

#include "briarhitch/core/Ids.h"

#include <string_view>

namespace briarhitch {

/** Digest of a request by its customer, method, path with query, and body. Never invalid. */
RequestDigest makeRequestDigest(CustomerId customer, std::string_view method, std::string_view target, std::string_view body);

}
