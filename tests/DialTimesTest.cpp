#include "wire/DialTimes.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /** Dials in an outage of this length if each takes its whole time, as to a VM without power, or none, as to a closed port. */
    int dialsWithin(Duration outage, bool isAnswered)
    {
        int dials = 0;
        for (Duration down { 0 }; down < outage; ++dials) {
            auto times = DialTimes::after(down);
            down += (isAnswered ? Duration(0) : times.timeout) + times.pause;
        }
        return dials;
    }

    // Pattern: all VMs lose power and come back one after the other. Guards against links that wait for a dial to a VM that
    // was still off, or for a long pause after it, while that VM is up again.
    TEST(DialTimesTest, ShortOutageIsOverSoonAfterThePeerIsBack)
    {
        for (Duration outage : { 200ms, 500ms, 1000ms, 1500ms }) {
            auto times = DialTimes::after(outage);
            EXPECT_LE(times.timeout + times.pause, outage / 2 + 100ms) << toMs(outage);
        }
    }

    // Guards against a fleet of hundreds of nodes that floods a control VM, or the network to one that stays away, with dials.
    TEST(DialTimesTest, DialsASecondAreBounded)
    {
        EXPECT_LE(dialsWithin(1s, true), 30) << "a closed port answers at once";
        EXPECT_LE(dialsWithin(60s, true) - dialsWithin(30s, true), 31);
        EXPECT_LE(dialsWithin(60s, false) - dialsWithin(30s, false), 16);
    }

    // Guards against dials that are given up within a few round trips, which a lossy or busy path needs.
    TEST(DialTimesTest, DialHasManyRoundTripsOfTime)
    {
        EXPECT_GE(DialTimes::after(Duration(0)).timeout, 100ms);
        EXPECT_GE(DialTimes::after(1h).timeout, 1s);
    }

}
}
