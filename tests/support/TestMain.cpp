#include "briarhitch/runtime/Loop.h"

#include <cstdio>
#include <gtest/gtest.h>

int main(int argc, char** argv)
{
    testing::InitGoogleTest(&argc, argv);
    int result = RUN_ALL_TESTS();
    std::fflush(nullptr);
    // A fiber that still waits when a test ends would block the exit of the thread for good.
    briarhitch::exitProcess(result);
}
