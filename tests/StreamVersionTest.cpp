#include "support/RoutedRequestFixture.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /** Targets 1 and 3 run software v1, target 2 runs v2. */
    struct Fixture : RoutedRequestFixture {
        Fixture()
        {
            auto config = view.config();
            config.version = Version(2);
            for (auto& [id, target] : config.targets)
                target.softwareVersion = id == TargetId(2) ? "v2" : "v1";
            apply(config);
        }

        [[nodiscard]] std::vector<std::string> instances() const
        {
            std::vector<std::string> names;
            for (size_t i = 0; i < targets.log.size(); ++i)
                names.push_back(header(i, "Instance"));
            return names;
        }
    };

    tl::unexpected<Error> broken() { return tl::unexpected(makeError(ErrorKind::TargetClosed, "closed")); }

    // Guards against an answer that is joined from two software versions when its stream breaks off.
    TEST(StreamVersionTest, BrokenStreamIsResumedAtItsVersion)
    {
        Fixture fixture;
        fixture.targets.script = { streamOf({ event(1), event(2), broken() }), streamOf({ event(3) }), streamOf({ event(3) }) };
        fixture.run("/query/1");
        EXPECT_EQ(fixture.instances(), (std::vector<std::string> { "t1", "t3" }));
        EXPECT_EQ(fixture.exchange.body, event(1) + event(2) + event(3));
        EXPECT_TRUE(fixture.exchange.isEnded);
    }

    // Guards against a generation whose KV cache is moved to an engine of another software version.
    TEST(StreamVersionTest, GenerationIsNotMovedToAnotherVersion)
    {
        Fixture fixture;
        int writes = 0;
        fixture.exchange.onWrite = [&] {
            if (++writes == 1)
                fixture.clock.now += 600ms;
        };
        fixture.pools.grants = { TargetId(1), TargetId(2) };
        fixture.targets.script = { streamOf({ event(1), event(2), event(3) }), respondWith(200, "h7") };
        fixture.run("/plan/1");
        EXPECT_EQ(fixture.instances(), (std::vector<std::string> { "t1" }));
        EXPECT_EQ(fixture.exchange.body, event(1) + event(2) + event(3));
    }

}
}
