#include "consensus/LogStore.h"

#include "consensus/LogRecord.h"
#include "support/MemoryFileSystem.h"
#include "support/Mutation.h"
#include "wire/Codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace briarhitch {
namespace {

    constexpr uint64_t seed = 20240607;
    const std::string firstSegment = "data/log-00000000000000000001";

    LogEntry entryOf(uint64_t index, uint64_t term = 1)
    {
        return { index, term, EntryKind::Command, "command " + std::to_string(index) + " of " + std::to_string(term) };
    }

    struct Opened {
        std::unique_ptr<LogStore> store;
        StoredState found;
        Error error;
        /** Errors that would have ended the process. */
        std::shared_ptr<std::vector<std::string>> fatal { std::make_shared<std::vector<std::string>>() };
    };

    Opened openStore(MemoryFileSystem& files, size_t segmentBytes = 1 << 20)
    {
        Opened opened;
        LogStoreSettings settings { "data", segmentBytes, [fatal = opened.fatal](const Error& error) { fatal->push_back(error.message); } };
        auto store = LogStore::open(files, settings, opened.found);
        if (store)
            opened.store = std::move(*store);
        else
            opened.error = store.error();
        return opened;
    }

    /** Fills a new store with a state file and these entries, each of them synced separately. */
    void fill(MemoryFileSystem& files, uint64_t count, size_t segmentBytes = 1 << 20)
    {
        auto opened = openStore(files, segmentBytes);
        HardState state;
        state.incarnation = Incarnation(1);
        ASSERT_TRUE(opened.store->saveHardState(state));
        for (uint64_t index = 1; index <= count; ++index) {
            ASSERT_TRUE(opened.store->append(entryOf(index)));
            ASSERT_TRUE(opened.store->sync());
        }
    }

    // Guards against a checksum that other tools cannot verify.
    TEST(LogRecordTest, ChecksumIsCrc32c)
    {
        EXPECT_EQ(crc32c("123456789"), 0xE3069283U);
    }

    // Guards against a voter that cannot start, or starts with half a record, after a crash during a write.
    TEST(LogStoreTest, IncompleteLastRecordIsTruncated)
    {
        MemoryFileSystem reference;
        fill(reference, 2);
        size_t twoRecords = reference.sizeOf(firstSegment);
        MemoryFileSystem full;
        fill(full, 3);
        for (size_t size = twoRecords; size < full.sizeOf(firstSegment); ++size) {
            MemoryFileSystem files;
            fill(files, 3);
            ASSERT_TRUE(files.truncate(firstSegment, size));
            auto opened = openStore(files);
            ASSERT_TRUE(opened.store) << opened.error.message;
            ASSERT_EQ(opened.found.entries.size(), 2U);
            EXPECT_EQ(files.sizeOf(firstSegment), twoRecords);
        }
    }

    // Guards against a voter that loses entries it confirmed because one of them was corrupted later.
    TEST(LogStoreTest, CorruptionErrorHasFileAndOffset)
    {
        MemoryFileSystem reference;
        fill(reference, 1);
        size_t oneRecord = reference.sizeOf(firstSegment);
        for (size_t offset = 0; offset < 3 * oneRecord; ++offset) {
            // A greater length of the very last record cannot be told from an interrupted write.
            if (offset >= 2 * oneRecord && offset < 2 * oneRecord + 4)
                continue;
            MemoryFileSystem files;
            fill(files, 3);
            files.corruptByte(firstSegment, offset);
            auto opened = openStore(files);
            ASSERT_FALSE(opened.store) << "byte " << offset;
            EXPECT_EQ(opened.error.kind, ErrorKind::Damaged);
            size_t record = offset / oneRecord * oneRecord;
            EXPECT_EQ(opened.error.message.find(firstSegment + " is damaged at offset " + std::to_string(record) + ":"), 0U) << opened.error.message;
        }
    }

    // Guards against gaps between segments, and against a log without the hard state that belongs to it.
    TEST(LogStoreTest, MissingFilesAreCorruption)
    {
        MemoryFileSystem files;
        fill(files, 10, 100);
        auto names = *files.list("data");
        ASSERT_GT(names.size(), 3U);
        for (const auto& name : names) {
            // Nothing shows that the last segment existed.
            if (name == names[names.size() - 2])
                continue;
            MemoryFileSystem copy;
            fill(copy, 10, 100);
            ASSERT_TRUE(copy.remove("data/" + name));
            EXPECT_EQ(openStore(copy).error.kind, ErrorKind::Damaged) << name;
        }
        files.corruptByte("data/state", files.sizeOf("data/state") - 1);
        EXPECT_EQ(openStore(files).error.kind, ErrorKind::Damaged);
    }

    // Guards against a process that continues after a failed sync or on a full disk.
    TEST(LogStoreTest, EveryFailedOperationIsFatal)
    {
        for (uint64_t operations = 0; operations < 12; ++operations) {
            MemoryFileSystem files;
            fill(files, 2, 100);
            auto opened = openStore(files, 100);
            files.operationsUntilFailure = operations;
            Result<void> result;
            for (uint64_t index = 3; index <= 8 && result; ++index)
                result = opened.store->append(entryOf(index)).and_then([&] { return opened.store->sync(); });
            ASSERT_FALSE(result) << operations;
            EXPECT_EQ(opened.fatal->size(), 1U);
            files.operationsUntilFailure = 1000;
            EXPECT_FALSE(opened.store->sync());
            EXPECT_FALSE(opened.store->append(entryOf(9)));
            EXPECT_FALSE(opened.store->saveHardState({}));
        }
    }

    // Guards against a separate sync for each record.
    TEST(LogStoreTest, OneSyncMakesAllAppendedEntriesDurable)
    {
        MemoryFileSystem files;
        fill(files, 0);
        auto opened = openStore(files);
        for (uint64_t index = 1; index <= 100; ++index)
            ASSERT_TRUE(opened.store->append(entryOf(index)));
        ASSERT_TRUE(opened.store->sync());
        EXPECT_EQ(opened.store->syncCount(), 1U);
        EXPECT_EQ(openStore(files).found.entries.size(), 100U);
    }

    /** Applies the same steps to a store and a model, and compares them after each crash. */
    class StoreModel {
    public:
        explicit StoreModel(uint64_t crashSeed)
            : random_(crashSeed)
        {
            reopen();
        }

        void step(uint8_t kind, uint8_t amount)
        {
            switch (kind % 6) {
            case 0:
            case 1:
                for (uint64_t i = 0; i <= amount % 5U; ++i)
                    append();
                break;
            case 2:
                RC_ASSERT(opened_.store->sync());
                synced_ = entries_;
                break;
            case 3:
                truncate(amount);
                break;
            case 4:
                snapshot(amount);
                break;
            default:
                files_.crash(random_);
                reopen();
            }
        }

    private:
        uint64_t last() const { return entries_.empty() ? snapshot_ : std::max(entries_.back().index, snapshot_); }

        void append()
        {
            LogEntry entry = entryOf(last() + 1, term_);
            RC_ASSERT(opened_.store->append(entry));
            entries_.push_back(entry);
        }

        void truncate(uint8_t amount)
        {
            uint64_t from = last() - std::min<uint64_t>(last(), amount % 4);
            if (from <= snapshot_ || entries_.empty() || from < entries_.front().index)
                return;
            RC_ASSERT(opened_.store->truncateFrom(from));
            std::erase_if(entries_, [&](const LogEntry& entry) { return entry.index >= from; });
            synced_ = entries_;
            ++term_;
        }

        void snapshot(uint8_t amount)
        {
            // As in the replica, a snapshot only covers synced entries, or replaces the whole log.
            RC_ASSERT(opened_.store->sync());
            synced_ = entries_;
            bool replaces = amount % 3 == 0;
            uint64_t index = replaces ? last() + amount : last();
            if (index <= snapshot_)
                return;
            Snapshot snapshot;
            snapshot.index = index;
            snapshot.term = replaces ? ++term_ : entries_.back().term;
            RC_ASSERT(opened_.store->saveSnapshot(snapshot, replaces));
            snapshot_ = index;
            if (replaces)
                entries_.clear();
            else
                RC_ASSERT(opened_.store->dropUpTo(index - std::min<uint64_t>(index, amount)));
            synced_ = entries_;
        }

        void reopen()
        {
            opened_ = openStore(files_, 120);
            RC_ASSERT(opened_.store);
            if (!opened_.found.hardState.incarnation.isValid()) {
                HardState state;
                state.incarnation = Incarnation(1);
                RC_ASSERT(opened_.store->saveHardState(state));
            }
            const auto& found = opened_.found.entries;
            RC_ASSERT((opened_.found.snapshot ? opened_.found.snapshot->index : 0) == snapshot_);
            // Old entries may be dropped and unsynced ones may be kept; every entry that is present must be one that
            // was written.
            uint64_t foundLast = found.empty() ? snapshot_ : std::max(found.back().index, snapshot_);
            RC_ASSERT(foundLast >= (synced_.empty() ? snapshot_ : synced_.back().index));
            for (const auto& entry : found) {
                auto it = std::find_if(entries_.begin(), entries_.end(), [&](const LogEntry& other) { return other.index == entry.index; });
                RC_ASSERT(it != entries_.end() && *it == entry);
            }
            entries_ = synced_ = found;
        }

        Random random_;
        MemoryFileSystem files_;
        Opened opened_;
        std::vector<LogEntry> entries_;
        std::vector<LogEntry> synced_;
        uint64_t snapshot_ { 0 };
        uint64_t term_ { 1 };
    };

    // Guards against a voter that cannot start because only some of the segments that a snapshot replaces were removed before a crash.
    TEST(LogStoreTest, SegmentsThatASnapshotCoversMayBeMissing)
    {
        constexpr uint64_t entries = 20;
        MemoryFileSystem reference;
        fill(reference, entries, 100);
        auto names = *reference.list("data");
        std::erase_if(names, [](const std::string& name) { return !name.starts_with("log-"); });
        ASSERT_GT(names.size(), 5U);
        // Each set of missing segments, except the last one, which has entries after the snapshot.
        for (uint32_t missing = 0; missing < 1U << (names.size() - 1); ++missing) {
            MemoryFileSystem files;
            fill(files, entries, 100);
            Snapshot snapshot;
            snapshot.index = entries - 1;
            snapshot.term = 1;
            ASSERT_TRUE(openStore(files, 100).store->saveSnapshot(snapshot, false));
            for (size_t i = 0; i + 1 < names.size(); ++i) {
                if (missing >> i & 1) {
                    ASSERT_TRUE(files.remove("data/" + names[i]));
                }
            }
            auto opened = openStore(files, 100);
            ASSERT_TRUE(opened.store) << missing << ": " << opened.error.message;
            ASSERT_FALSE(opened.found.entries.empty());
            EXPECT_EQ(opened.found.entries.back().index, entries);
            for (size_t i = 1; i < opened.found.entries.size(); ++i)
                EXPECT_EQ(opened.found.entries[i].index, opened.found.entries[i - 1].index + 1) << missing;
        }
    }

    // Guards against loss of synced entries, snapshots or order in any sequence of operations and crashes.
    TEST(LogStoreTest, AnySequenceOfOperationsSurvivesCrashes)
    {
        rc::detail::TestParams params;
        params.seed = seed;
        params.maxSuccess = 2000;
        auto property = [](uint64_t crashSeed, const std::vector<std::pair<uint8_t, uint8_t>>& steps) {
            StoreModel model(crashSeed);
            for (auto [kind, amount] : steps)
                model.step(kind, amount);
        };
        auto result = rc::detail::checkProperty(rc::detail::toProperty(property), rc::detail::TestMetadata(), params);
        std::ostringstream text;
        rc::detail::printResultMessage(result, text);
        EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
    }

    RaftMessage sampleMessage()
    {
        RaftMessage message;
        message.kind = RaftMessageKind::Append;
        message.term = 7;
        message.entries = { entryOf(4), entryOf(5) };
        message.chunk = "chunk";
        message.membership = Membership().with({ NodeId(1), Incarnation(5), MemberRole::Voter });
        return message;
    }

    constexpr int mutations = 20000;

    // Guards against malformed bytes of a peer that crash a voter.
    TEST(ConsensusMutationTest, MessagesAreDecodedOrRejected)
    {
        Random random(seed);
        std::string bytes = encode(sampleMessage());
        int rejected = 0;
        for (int i = 0; i < mutations; ++i)
            rejected += decode<RaftMessage>(mutate(bytes, random)) ? 0 : 1;
        EXPECT_GT(rejected, mutations / 4);
    }

    // Guards against a corrupted disk that crashes a voter or yields entries that were never written.
    TEST(ConsensusMutationTest, SegmentsKeepOnlyEntriesThatWereWritten)
    {
        Random random(seed);
        std::string bytes;
        for (uint64_t index = 1; index <= 5; ++index)
            appendRecord(bytes, entryOf(index), bytes.size());
        for (int i = 0; i < mutations; ++i) {
            auto mutated = mutate(bytes, random);
            auto content = readSegment(mutated, 1);
            EXPECT_LE(content.validBytes, mutated.size());
            for (const auto& entry : content.entries)
                ASSERT_EQ(entry, entryOf(entry.index));
        }
    }

    // Guards against a corrupted snapshot or state file that crashes a voter or is accepted.
    TEST(ConsensusMutationTest, ChecksummedFilesAreReadUnchangedOrRejected)
    {
        Random random(seed);
        Snapshot snapshot { 9, 3, Membership().with({ NodeId(1), Incarnation(5), MemberRole::Voter }), 2, "state" };
        std::string bytes = encodeChecksummedFile(encode(snapshot));
        for (int i = 0; i < mutations; ++i) {
            auto mutated = mutate(bytes, random);
            EXPECT_EQ(decodeChecksummedFile(mutated, "file").has_value(), mutated == bytes);
            // Also decodes the content without the checksum, as if it had been computed over the mutated content.
            (void)decode<Snapshot>(std::string_view(mutated).substr(std::min<size_t>(mutated.size(), 12)));
        }
    }

}
}
