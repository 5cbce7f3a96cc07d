#pragma once

#include "briarhitch/core/Clock.h"

namespace briarhitch {

/** Timing of the connection attempts of a link that is down. */
struct ConnectBackoff {
    /** Timeout of one connection attempt. */
    Duration timeout;
    /** Mean pause after a failed attempt. */
    Duration pause;

    /**
     * Values for a link that has been down for `outage`. Both grow with the outage: a link reopens soon after a short
     * one, and a peer that stays down gets about one attempt a second from each node, however many nodes there are.
     */
    static ConnectBackoff after(Duration outage);
};

}
