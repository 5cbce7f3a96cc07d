#include "briarhitch/core/LineWriter.h"

#include <array>
#include <gtest/gtest.h>
#include <unistd.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    class LineWriterTest : public testing::Test {
    protected:
        void SetUp() override { ASSERT_EQ(::pipe(ends_.data()), 0); }
        void TearDown() override
        {
            ::close(ends_[0]);
            ::close(ends_[1]);
        }

        std::string readAll() const
        {
            std::string text(1 << 20, '\0');
            auto count = ::read(ends_[0], text.data(), text.size());
            text.resize(count > 0 ? static_cast<size_t>(count) : 0);
            return text;
        }

        std::array<int, 2> ends_ {};
        Instant now_ { 1h };
    };

    // Guards against a process that blocks or grows because its standard output is not read.
    TEST_F(LineWriterTest, StalledReaderNeitherBlocksNorGrowsMemory)
    {
        LineRateLimit limit { 1e9, 1e9, 100000 };
        LineWriter writer(ends_[1], limit, [this] { return now_; });
        std::string line(1000, 'x');
        for (int i = 0; i < 5000; ++i)
            writer.write(line);
        EXPECT_LE(writer.pendingBytes(), 100000u);
        EXPECT_GT(writer.droppedLines(), 4000u);
    }

    // Guards against an unlimited log volume, and against dropped lines that are not reported.
    TEST_F(LineWriterTest, VolumeIsBoundedAndDroppedLinesAreReported)
    {
        LineRateLimit limit { 1000, 2000, 100000 };
        LineWriter writer(ends_[1], limit, [this] { return now_; });
        for (int i = 0; i < 100; ++i)
            writer.write(std::string(99, 'x'));
        auto first = readAll();
        EXPECT_LE(first.size(), 2300u);
        EXPECT_EQ(writer.droppedLines(), 80u);
        now_ += 2s;
        writer.write("after");
        auto second = readAll();
        EXPECT_NE(second.find(R"("message":"lines were dropped","lines":)"), std::string::npos);
        EXPECT_NE(second.find("after\n"), std::string::npos);
    }

}
}
