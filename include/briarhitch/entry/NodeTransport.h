#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/core/Ids.h"
#include "briarhitch/wire/Messages.h"

#include <string>

namespace briarhitch {

/** Sends messages between entry nodes. A message to this node itself is delivered synchronously. */
class NodeTransport {
public:
    virtual ~NodeTransport() = default;

    /** Whether a link to the node is open, or it is this node; starts to open a link if there is none. */
    virtual bool isReachable(NodeId node) = 0;
    /** Sends to a pool owner, over the link that this node opened; false if that is not open. */
    virtual bool postToOwner(NodeId node, MessageType type, std::string body) = 0;
    /** Sends to an entry, over the link that the entry opened last; dropped if none is open. */
    virtual void postToEntry(NodeId node, MessageType type, std::string body) = 0;
    /** Calls a pool owner and blocks the calling fiber; Unavailable if there is no reply within the timeout. */
    virtual Result<std::string> call(NodeId node, MessageType type, std::string body, Duration timeout) = 0;
};

}
