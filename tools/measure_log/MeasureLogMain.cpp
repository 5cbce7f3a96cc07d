#include "consensus/PosixFileSystem.h"
#include "consensus/RaftReplica.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    constexpr size_t recordBytes = 100;
    constexpr uint64_t fillGroup = 1000;
    constexpr Duration syncMeasureTime = 2s;

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

    /** Records that become durable in a second when each sync covers `group` of them. */
    double recordsPerSecond(const std::string& folder, uint64_t group)
    {
        std::filesystem::remove_all(folder);
        PosixFileSystem files;
        auto store = openStore(files, folder);
        uint64_t index = 0;
        auto start = BootClock::now();
        while (BootClock::now() - start < syncMeasureTime)
            appendGroup(*store, index, group);
        return static_cast<double>(index) / toSeconds(BootClock::now() - start);
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
        settings.snapshotEveryEntries = 2 * records;
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
    std::string folder = std::string(argv[1]) + "/briarhitch-measure-log";
    double single = briarhitch::recordsPerSecond(folder, 1);
    std::printf("records per sync 1: %.0f records/s\n", single);
    for (uint64_t group : { 8, 64, 512 }) {
        double grouped = briarhitch::recordsPerSecond(folder, group);
        std::printf("records per sync %lu: %.0f records/s, %.0f syncs/s, %.1f times as many records as with 1\n", group, grouped,
            grouped / static_cast<double>(group), grouped / single);
    }
    for (uint64_t records : { 10000, 100000, 1000000 })
        briarhitch::measureRecovery(folder, records);
    std::filesystem::remove_all(folder);
    return 0;
}
