#include "process/ProcessFixture.h"

namespace briarhitch {
namespace {

    struct Deployment {
        std::string name;
        size_t targets;
        size_t customers;
    };

    class ExamplesTest : public ProcessFixture, public testing::WithParamInterface<Deployment> { };

    // Guards against examples that the daemons or the operators' API no longer accept.
    TEST_P(ExamplesTest, SettingsAreGoodAndContractsAndTargetsLoad)
    {
        const std::string root = BRIARHITCH_SOURCE_DIR;
        const std::string bin = BRIARHITCH_BIN_DIR;
        auto folder = root + "/examples/" + GetParam().name;
        for (const auto* kind : { "control", "entry" }) {
            ChildProcess check(bin + "/briarhitch-" + kind, { "--config=" + folder + "/" + kind + ".json", "--check_config" }, logPath("check"));
            EXPECT_EQ(check.waitExit(std::chrono::seconds(20)), 0) << check.log();
        }
        startControls(1);
        waitReady(daemon("control-1"));
        ChildProcess load(root + "/examples/load.sh", { folder, "--servers=127.0.0.1:" + std::to_string(daemon("control-1").port), std::string("--key=") + operatorKey, "--wait_s=0" }, logPath("load"), { "BRIARHITCH_CTL=" + bin + "/briarhitch-ctl" });
        EXPECT_EQ(load.waitExit(std::chrono::seconds(60)), 0) << load.log();
        auto json = status();
        EXPECT_EQ(json["targets"], GetParam().targets);
        EXPECT_EQ(json["customers"], GetParam().customers);
    }

    INSTANTIATE_TEST_SUITE_P(Deployments, ExamplesTest, testing::Values(Deployment { "lockstone", 21, 5 }, Deployment { "pincel", 15, 5 }),
        [](const auto& info) { return info.param.name; });

}
}
