#pragma once

#include "briarhitch/core/Clock.h"

namespace briarhitch {

/** How a link that is down is dialled. */
struct DialTimes {
    /** Time for the connection to open. */
    Duration timeout;
    /** Mean pause after a dial that failed. */
    Duration pause;

    /**
     * By how long the link has been down. Both grow with the outage, so that a link is open again soon after a short
     * one, and a peer that stays away is dialled about once a second by each node, however many nodes there are.
     */
    static DialTimes after(Duration outage);
};

}
