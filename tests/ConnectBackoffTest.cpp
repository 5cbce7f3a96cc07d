#include "wire/ConnectBackoff.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /**
     * Connection attempts in an outage of this length. Without a response, as from a VM without power, each takes its
     * whole timeout; with one, as from a closed port, it takes no time.
     */
    int attemptsWithin(Duration outage, bool hasResponse)
    {
        int attempts = 0;
        for (Duration down { 0 }; down < outage; ++attempts) {
            auto backoff = ConnectBackoff::after(down);
            down += (hasResponse ? Duration(0) : backoff.timeout) + backoff.pause;
        }
        return attempts;
    }

    // All VMs lose power and restart one after the other. Guards against links that wait for an attempt to a VM that
    // was still down, or for a long pause after it, although that VM is up again.
    TEST(ConnectBackoffTest, LinkReopensSoonAfterAShortOutage)
    {
        for (Duration outage : { 200ms, 500ms, 1000ms, 1500ms }) {
            auto backoff = ConnectBackoff::after(outage);
            EXPECT_LE(backoff.timeout + backoff.pause, outage / 2 + 100ms) << toMs(outage);
        }
    }

    // Guards against hundreds of nodes that flood a control VM that is down, or the network to it, with connection
    // attempts.
    TEST(ConnectBackoffTest, AttemptsPerSecondAreBounded)
    {
        EXPECT_LE(attemptsWithin(1s, true), 30) << "a closed port responds at once";
        EXPECT_LE(attemptsWithin(60s, true) - attemptsWithin(30s, true), 31);
        EXPECT_LE(attemptsWithin(60s, false) - attemptsWithin(30s, false), 16);
    }

    // Guards against attempts that time out within a few round trips, which a lossy or busy path needs.
    TEST(ConnectBackoffTest, TimeoutAllowsManyRoundTrips)
    {
        EXPECT_GE(ConnectBackoff::after(Duration(0)).timeout, 100ms);
        EXPECT_GE(ConnectBackoff::after(1h).timeout, 1s);
    }

}
}
