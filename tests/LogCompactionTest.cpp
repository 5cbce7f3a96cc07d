#include "consensus/RaftReplica.h"
#include "support/MemoryFileSystem.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    /** The smallest disk of a control VM. */
    constexpr size_t diskBytes = 128U << 20;
    /** A routing document of 760 routes with its text, as one command. */
    constexpr size_t largeCommandBytes = 190'000;

    /** A voter that is alone in its group, with default settings; its state is the last command. */
    class SoleVoter {
    public:
        SoleVoter() { start(); }

        void start()
        {
            replica_.reset();
            state_.clear();
            RaftReplicaSettings settings;
            settings.core.self = NodeId(1);
            settings.core.voters = { NodeId(1) };
            settings.store.folder = "data";
            settings.newIncarnation = Incarnation(1);
            RaftReplicaHooks hooks;
            hooks.state.apply = [this](uint64_t, std::string_view command) {
                state_ = command;
                return std::string();
            };
            hooks.state.takeSnapshot = [this] { return state_; };
            hooks.state.loadSnapshot = [this](uint64_t, std::string_view snapshot) { state_ = snapshot; };
            hooks.send = [](NodeId, const RaftMessage&) {};
            auto opened = RaftReplica::open(files, std::move(settings), std::move(hooks), now_);
            ASSERT_TRUE(opened) << opened.error().message;
            replica_ = std::move(*opened);
            now_ += 5s;
            replica_->tick(now_);
            ASSERT_TRUE(replica_->process(now_));
        }

        void propose(std::string command)
        {
            ASSERT_TRUE(replica_->propose(now_, std::move(command)));
            ASSERT_TRUE(replica_->process(now_));
        }

        [[nodiscard]] size_t diskUse()
        {
            size_t bytes = 0;
            auto names = files.list("data");
            for (const auto& name : *names)
                bytes += files.sizeOf("data/" + name);
            return bytes;
        }

        [[nodiscard]] size_t entriesInMemory() const
        {
            const auto& log = replica_->core().log();
            size_t bytes = 0;
            for (uint64_t index = log.baseIndex() + 1; index <= log.lastIndex(); ++index)
                bytes += log.entry(index).data.size();
            return bytes;
        }

        [[nodiscard]] const std::string& state() const { return state_; }

        MemoryFileSystem files;

    private:
        Instant now_ { 1h };
        std::unique_ptr<RaftReplica> replica_;
        std::string state_;
    };

    // Guards against a log of a few large entries that fills the disk before its number of entries calls for a snapshot.
    TEST(LogCompactionTest, ManyLargeChangesFitOnTheDisk)
    {
        SoleVoter voter;
        size_t greatestDiskUse = 0;
        for (int change = 0; change < 1500; ++change) {
            voter.propose(std::to_string(change) + std::string(largeCommandBytes, 'r'));
            greatestDiskUse = std::max(greatestDiskUse, voter.diskUse());
        }
        // Old and new snapshots of the rest of the state need room too.
        EXPECT_LE(greatestDiskUse, diskBytes / 4);
        EXPECT_LE(voter.entriesInMemory(), diskBytes / 4);
        voter.start();
        EXPECT_EQ(voter.state(), "1499" + std::string(largeCommandBytes, 'r'));
    }

    // Guards against a voter that starts with a long log, as earlier versions left it, and never shortens it.
    TEST(LogCompactionTest, LongLogIsShortenedAfterARestart)
    {
        SoleVoter voter;
        for (int start = 0; start < 20; ++start) {
            for (int change = 0; change < 30; ++change)
                voter.propose(std::string(largeCommandBytes, 'r'));
            voter.start();
        }
        EXPECT_LE(voter.diskUse(), diskBytes / 4);
    }

}
}
