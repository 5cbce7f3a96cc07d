#pragma once

#include "briarhitch/core/Ids.h"

#include <string>

namespace briarhitch {

/** The software version of the target that began a stream. */
struct StreamVersion {
    /** Invalid for a request that callers cannot continue. */
    StreamId stream;
    std::string softwareVersion;

    bool operator==(const StreamVersion&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(stream, softwareVersion);
    }
};

}
