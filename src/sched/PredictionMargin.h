#pragma once

#include "briarhitch/core/Ids.h"

#include <map>

namespace briarhitch {

/**
 * How much later than predicted the first answers of each kind of work come. Under overload requests are granted just before
 * their objective can no longer be met, so that half of them would miss it if predictions were only right on average.
 */
class PredictionMargin {
public:
    /** Times in milliseconds from the grant to the first event of a stream, or to another complete answer. */
    void addSample(WorkKindId kind, double predictedMs, double actualMs);
    /** Milliseconds, never negative, that most predictions of this kind exceed by less; zero until there are enough samples. */
    [[nodiscard]] double marginMs(WorkKindId kind) const;

private:
    struct Estimate {
        double marginMs { 0 };
        /** Mean distance of the errors from the margin; the scale of its steps. */
        double deviationMs { 0 };
        int samples { 0 };
    };

    std::map<WorkKindId, Estimate> estimates_;
};

}
