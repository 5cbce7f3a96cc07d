#pragma once

#include "briarhitch/core/Ids.h"
#include "briarhitch/core/Units.h"

#include <absl/container/flat_hash_map.h>

namespace briarhitch {

/** Estimates output lengths by customer and kind of work. */
class LengthEstimator {
public:
    void addSample(CustomerId customer, WorkKindId kind, Tokens output);
    /** Expected output tokens, at least one, and at most `limit` if that is greater than zero. */
    [[nodiscard]] Tokens estimate(CustomerId customer, WorkKindId kind, Tokens limit) const;

private:
    struct Mean {
        double value { 0 };
        double samples { 0 };
        void add(double sample);
    };

    [[nodiscard]] double kindMean(WorkKindId kind) const;

    absl::flat_hash_map<std::pair<CustomerId, WorkKindId>, Mean> byCustomer_;
    absl::flat_hash_map<WorkKindId, Mean> byKind_;
};

}
