#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/wire/Messages.h"

#include <string>

namespace briarhitch {

/** Messages between entry nodes. A message to this node itself is delivered at once. */
class NodeTransport {
public:
    virtual ~NodeTransport() = default;

    /** Whether a message to this node would be sent now; starts to open a link if there is none. */
    virtual bool isReachable(NodeId node) = 0;
    /** To a pool owner, over the link that this node opened; false if it is not open. */
    virtual bool postToOwner(NodeId node, MessageType type, std::string body) = 0;
    /** To an entry, over the link that the entry opened last; dropped if it is closed. */
    virtual void postToEntry(NodeId node, MessageType type, std::string body) = 0;
    /** Blocks the calling fiber; Unavailable if there is no answer in time. */
    virtual Result<std::string> call(NodeId node, MessageType type, std::string body, Duration timeout) = 0;
};

}
