#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/model/Contract.h"

#include <cstdint>
#include <string_view>

namespace briarhitch {

enum class CeilingDecider : uint8_t {
    /** The customer has no ceiling. */
    None,
    Owner,
    /** The owner was unresponsive, so the entry decided locally. */
    Entry,
};

std::string_view toString(CeilingDecider decider);

/** The decision on one request under its customer's ceiling. */
struct CeilingVerdict {
    Result<void> admission;
    CeilingDecider decider { CeilingDecider::None };
    /** What the decider had left for the customer after this decision. */
    CeilingAmount left;
};

}
