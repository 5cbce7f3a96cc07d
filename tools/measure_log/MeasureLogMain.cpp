#include "briarhitch/consensus/RaftNode.h"
#include "briarhitch/core/Log.h"
#include "briarhitch/runtime/Loop.h"
#include "consensus/PosixFileSystem.h"
#include "consensus/RaftReplica.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <limits>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t recordBytes = 100;
    constexpr uint64_t fillGroup = 1000;
    constexpr Duration syncMeasureTime = 500ms;
    // Other users of the disk change its speed within seconds, so the variants take turns.
    constexpr int rounds = 5;

    std::unique_ptr<LogStore> openStore(PosixFileSystem& files, const std::string& folder)
    {
        StoredState found;
        LogStoreSettings settings;
        settings.folder = folder;
        auto store = LogStore::open(files, settings, found);
        if (!store) {
            std::fprintf(stderr, "%s\n", store.error().message.c_str());
            std::exit(1);
        }
        return std::move(*store);
    }

    void appendGroup(LogStore& store, uint64_t& index, uint64_t count)
    {
        for (uint64_t i = 0; i < count; ++i) {
            ++index;
            if (!store.append({ index, 1, EntryKind::Command, std::string(recordBytes, 'x') }))
                std::exit(1);
        }
        if (!store.sync())
            std::exit(1);
    }

    /** Appends groups of each size in turn to one store, so that all of them see the same disk. */
    void measureSyncs(const std::string& folder)
    {
        std::filesystem::remove_all(folder);
        PosixFileSystem files;
        auto store = openStore(files, folder);
        const std::vector<uint64_t> groups { 1, 8, 64, 512 };
        std::vector<Duration> spent(groups.size());
        uint64_t index = 0;
        uint64_t turns = 0;
        auto start = BootClock::now();
        while (BootClock::now() - start < syncMeasureTime * rounds) {
            ++turns;
            for (size_t i = 0; i < groups.size(); ++i) {
                auto before = BootClock::now();
                appendGroup(*store, index, groups[i]);
                spent[i] += BootClock::now() - before;
            }
        }
        auto rate = [&](size_t i) { return static_cast<double>(groups[i] * turns) / toSeconds(spent[i]); };
        for (size_t i = 0; i < groups.size(); ++i)
            std::printf("records in one sync %lu: %.0f records/s, %.0f syncs/s, ratio %.1f\n", groups[i], rate(i),
                static_cast<double>(turns) / toSeconds(spent[i]), rate(i) / rate(0));
    }

    /** Confirmed proposals in a second on a sole voter, with so many fibers that propose one after the other. */
    double proposalsPerSecond(const std::string& folder, uint64_t fibers)
    {
        std::filesystem::remove_all(folder);
        Loop loop;
        RaftNodeSettings settings;
        settings.self = NodeId(1);
        settings.voters = { NodeId(1) };
        settings.dataFolder = folder;
        ReplicatedLogHooks hooks;
        hooks.apply = [](uint64_t, std::string_view) { return std::string(); };
        hooks.takeSnapshot = [] { return std::string(); };
        auto node = RaftNode::open(loop, settings, hooks);
        if (!node)
            std::exit(1);
        uint64_t confirmed = 0;
        auto start = BootClock::now();
        for (uint64_t i = 0; i < fibers; ++i) {
            loop.spawn([&] {
                sleepFor(loop, 1ms);
                while (BootClock::now() - start < syncMeasureTime)
                    confirmed += (*node)->propose(std::string(recordBytes, 'x'), 1s) ? 1 : 0;
                if (loop.fiberCount() == 1)
                    loop.stop();
            });
        }
        loop.run();
        return static_cast<double>(confirmed) / toSeconds(BootClock::now() - start);
    }

    /** Prints the mean rate of each variant over all rounds, and its ratio to the first one. */
    void measureTurns(const char* what, const std::vector<uint64_t>& variants, const std::function<double(uint64_t)>& measure)
    {
        std::vector<double> rates(variants.size());
        for (int round = 0; round < rounds; ++round) {
            for (size_t i = 0; i < variants.size(); ++i)
                rates[i] += measure(variants[i]) / rounds;
        }
        for (size_t i = 0; i < variants.size(); ++i)
            std::printf("%s %lu: %.0f records/s, ratio %.1f\n", what, variants[i], rates[i], rates[i] / rates[0]);
    }

    void fill(const std::string& folder, uint64_t records)
    {
        std::filesystem::remove_all(folder);
        PosixFileSystem files;
        auto store = openStore(files, folder);
        HardState state { 1, NodeId(1), Incarnation(1), Membership().with({ NodeId(1), Incarnation(1), MemberRole::Voter }) };
        if (!store->saveHardState(state))
            std::exit(1);
        for (uint64_t index = 0; index < records;)
            appendGroup(*store, index, std::min(fillGroup, records - index));
    }

    /** From opening the folder until a sole voter leads and has applied its whole log. */
    void measureRecovery(const std::string& folder, uint64_t records)
    {
        fill(folder, records);
        PosixFileSystem files;
        RaftReplicaSettings settings;
        settings.core.self = NodeId(1);
        settings.core.voters = { NodeId(1) };
        settings.store.folder = folder;
        settings.compaction.snapshotEveryEntries = 2 * records;
        settings.compaction.snapshotEveryBytes = std::numeric_limits<uint64_t>::max();
        RaftReplicaHooks hooks;
        uint64_t applied = 0;
        hooks.state.apply = [&](uint64_t, std::string_view) {
            ++applied;
            return std::string();
        };
        hooks.send = [](NodeId, const RaftMessage&) {};
        auto start = BootClock::now();
        auto replica = RaftReplica::open(files, settings, hooks, start);
        if (!replica)
            std::exit(1);
        auto opened = BootClock::now();
        (*replica)->process(opened);
        auto ready = BootClock::now();
        std::printf("recovery of %lu records: read %.3f s, in all %.3f s, %lu applied\n", records, toSeconds(opened - start),
            toSeconds(ready - start), applied);
    }

}
}

// Usage: briarhitch-measure-log FOLDER. The folder is made and removed; its disk is what is measured.
int main(int argc, char** argv)
{
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
        return 2;
    }
    briarhitch::setUpToolLogging(briarhitch::LogLevel::Warning);
    std::string folder = std::string(argv[1]) + "/briarhitch-measure-log";
    briarhitch::measureSyncs(folder);
    briarhitch::measureTurns("proposing fibers", { 1, 8, 64 }, [&](uint64_t fibers) { return briarhitch::proposalsPerSecond(folder, fibers); });
    for (uint64_t records : { 10000, 100000, 1000000 })
        briarhitch::measureRecovery(folder, records);
    std::filesystem::remove_all(folder);
    return 0;
}
