#pragma once

#include "briarhitch/core/Ids.h"

#include <string>
#include <vector>

namespace briarhitch {

/** What a stream is bound to from its first event on: it is continued by this service and at this software version only. */
struct StreamBinding {
    /** Invalid for a request that callers cannot continue. */
    StreamId stream;
    /** Empty if the target that began the stream names none. */
    std::string softwareVersion;
    /** Empty if an earlier release recorded the stream. */
    std::string service {};

    bool operator==(const StreamBinding&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(stream, softwareVersion, service);
    }
};

/** Streams that are bound to one service and software version. */
struct StreamGroup {
    std::string service;
    std::string softwareVersion;
    std::vector<StreamId> streams;

    bool operator==(const StreamGroup&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(service, softwareVersion, streams);
    }
};

/** Adds the stream to the group of its service and version, or to a new one. */
void addToGroups(std::vector<StreamGroup>& groups, const StreamBinding& binding);

}
