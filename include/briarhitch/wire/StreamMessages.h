#pragma once

#include "briarhitch/model/StreamBinding.h"

#include <optional>
#include <vector>

namespace briarhitch {

/** Entry to control leader: streams that began at this entry, or still run at it. Reply: RecordStreamsReply. */
struct RecordStreams {
    std::vector<StreamGroup> groups;

    template <class V>
    void fields(V& visit)
    {
        visit(groups);
    }
};

struct RecordStreamsReply {
    bool committed { false };

    template <class V>
    void fields(V& visit)
    {
        visit(committed);
    }
};

/** Entry to control leader: a caller continues a stream that the entry does not know. Reply: FindStreamReply. */
struct FindStream {
    StreamId stream;

    template <class V>
    void fields(V& visit)
    {
        visit(stream);
    }
};

struct FindStreamReply {
    /** False: the replying process is not the leader, and has not looked. */
    bool isDecided { false };
    std::optional<StreamBinding> binding;

    template <class V>
    void fields(V& visit)
    {
        visit(isDecided, binding);
    }
};

}
