#include "ctl/LogExplainer.h"

#include <fstream>
#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    std::string writeFile(const std::string& name, const std::string& text)
    {
        auto path = testing::TempDir() + name;
        std::ofstream(path) << text;
        return path;
    }

    // Guards against an account in the wrong order, and one that leaves out what another process said meanwhile.
    TEST(LogExplainerTest, LogsOfSeveralProcessesAreOneAccount)
    {
        auto entry = writeFile("entry.log",
            R"({"unix_ms":5000,"level":"info","node":"entry-1","part":"request","event":"refused","request":"r1","begun_unix_ms":1000,"after_ms":300.0,"reason":"no_target"})"
            "\nno json\n"
            R"({"unix_ms":5000,"level":"info","node":"entry-1","part":"request","event":"admitted","request":"r1","begun_unix_ms":1000,"after_ms":0.5,"service":"pool"})"
            "\n"
            R"({"unix_ms":5000,"level":"info","node":"entry-1","part":"request","event":"admitted","request":"r2","begun_unix_ms":1000,"after_ms":0.5})"
            "\n");
        auto control = writeFile("control.log", R"({"unix_ms":1100,"level":"info","node":"control-1","part":"control","message":"discovery lists 0 targets"})"
                                                "\n"
                                                R"({"unix_ms":9000,"level":"info","node":"control-1","part":"control","message":"much later"})"
                                                "\n");
        auto account = explainFromLogs("r1", { entry, control });
        ASSERT_TRUE(account);
        auto admitted = account->find("admitted service=pool");
        auto discovery = account->find("~ control-1 control: discovery lists 0 targets");
        auto refused = account->find("refused reason=no_target");
        EXPECT_LT(admitted, discovery);
        EXPECT_LT(discovery, refused);
        EXPECT_NE(refused, std::string::npos);
        EXPECT_EQ(account->find("much later"), std::string::npos);
        EXPECT_EQ(account->find("r2"), std::string::npos);
        EXPECT_FALSE(explainFromLogs("r9", { entry }));
        EXPECT_FALSE(explainFromLogs("r1", { "/no/such/file" }));
    }

}
}
