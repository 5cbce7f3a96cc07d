#include "consensus/LogStore.h"

#include "consensus/LogRecord.h"
#include "wire/Codec.h"

#include <cassert>
#include <charconv>
#include <numeric>

namespace briarhitch {

namespace {

    constexpr std::string_view stateName = "state";
    constexpr std::string_view segmentPrefix = "log-";
    constexpr std::string_view snapshotPrefix = "snapshot-";
    constexpr std::string_view temporarySuffix = ".tmp";
    // Enough digits for every index; zero-padded names sort in the order of indexes.
    constexpr size_t indexDigits = 20;

    std::string fileNameFor(std::string_view prefix, uint64_t index)
    {
        std::string digits = std::to_string(index);
        return std::string(prefix) + std::string(indexDigits - digits.size(), '0') + digits;
    }

    std::optional<uint64_t> indexFromFileName(std::string_view name, std::string_view prefix)
    {
        if (!name.starts_with(prefix) || name.size() != prefix.size() + indexDigits)
            return std::nullopt;
        uint64_t index = 0;
        auto [end, error] = std::from_chars(name.data() + prefix.size(), name.data() + name.size(), index);
        if (error != std::errc() || end != name.data() + name.size())
            return std::nullopt;
        return index;
    }

    template <class T>
    Result<T> readChecksummedFile(FileSystem& files, const std::string& path)
    {
        auto bytes = files.read(path);
        if (!bytes)
            return tl::unexpected(bytes.error());
        auto content = decodeChecksummedFile(*bytes, path);
        if (!content)
            return tl::unexpected(content.error());
        auto value = decode<T>(*content);
        if (!value)
            return fail(ErrorKind::Damaged, path + " is damaged at offset 0: " + value.error().message);
        return value;
    }

    tl::unexpected<Error> corrupted(const std::string& path, uint64_t offset, std::string_view what)
    {
        return fail(ErrorKind::Damaged, path + " is damaged at offset " + std::to_string(offset) + ": " + std::string(what));
    }

}

LogStore::LogStore(FileSystem& files, LogStoreSettings settings)
    : files_(files)
    , settings_(std::move(settings))
{
}

Result<std::unique_ptr<LogStore>> LogStore::open(FileSystem& files, LogStoreSettings settings, StoredState& found)
{
    std::unique_ptr<LogStore> store(new LogStore(files, std::move(settings)));
    auto opened = files.openFolder(store->settings_.folder);
    if (!opened)
        return tl::unexpected(opened.error());
    auto loaded = store->load(found);
    if (!loaded)
        return tl::unexpected(loaded.error());
    return store;
}

Result<void> LogStore::load(StoredState& found)
{
    auto names = files_.list(settings_.folder);
    if (!names)
        return tl::unexpected(names.error());
    std::vector<std::string> segments;
    for (const auto& name : *names) {
        if (name.ends_with(temporarySuffix)) {
            if (auto removed = files_.remove(pathOf(name)); !removed)
                return removed;
        } else if (indexFromFileName(name, segmentPrefix)) {
            segments.push_back(name);
        }
    }
    if (auto loaded = loadSnapshot(*names, found); !loaded)
        return loaded;
    for (size_t i = 0; i < segments.size(); ++i) {
        if (auto loaded = loadSegment(segments[i], i + 1 == segments.size(), found); !loaded)
            return loaded;
    }
    auto state = readChecksummedFile<HardState>(files_, pathOf(std::string(stateName)));
    if (state)
        found.hardState = std::move(*state);
    else if (state.error().kind != ErrorKind::NotFound)
        return tl::unexpected(state.error());
    else if (found.snapshot || !found.entries.empty())
        return corrupted(pathOf(std::string(stateName)), 0, "the file is missing but there is a log");
    return checkAgainstSnapshot(found);
}

Result<void> LogStore::loadSnapshot(const std::vector<std::string>& names, StoredState& found)
{
    std::string newest;
    for (const auto& name : names) {
        if (indexFromFileName(name, snapshotPrefix))
            newest = name;
    }
    if (newest.empty())
        return {};
    auto snapshot = readChecksummedFile<Snapshot>(files_, pathOf(newest));
    if (!snapshot)
        return tl::unexpected(snapshot.error());
    found.snapshot = std::make_shared<const Snapshot>(std::move(*snapshot));
    return removeOldSnapshots(found.snapshot->index);
}

Result<void> LogStore::loadSegment(const std::string& name, bool isLast, StoredState& found)
{
    Segment segment;
    segment.firstIndex = *indexFromFileName(name, segmentPrefix);
    segment.path = pathOf(name);
    if (!segments_.empty() && segments_.back().endIndex() != segment.firstIndex) {
        // dropUpTo() removed this segment's predecessors, and not all removals survived a crash.
        bool isCoveredBySnapshot = found.snapshot && segment.firstIndex <= found.snapshot->index + 1;
        if (!isCoveredBySnapshot)
            return corrupted(segment.path, 0, "the segment does not follow the one before it");
        found.entries.clear();
        if (auto dropped = dropAllSegments(); !dropped)
            return dropped;
    }
    auto bytes = files_.read(segment.path);
    if (!bytes)
        return tl::unexpected(bytes.error());
    auto content = readSegment(*bytes, segment.firstIndex);
    bool isIncomplete = content.validBytes < bytes->size();
    // Only the last segment can have an unsynced end, because a segment is synced before the next one is started.
    if (content.corruptedAt || (isIncomplete && !isLast))
        return corrupted(segment.path, content.validBytes, "record cannot be read");
    if (isIncomplete) {
        auto truncated = files_.truncate(segment.path, content.validBytes).and_then([&] { return files_.sync(segment.path); });
        if (!truncated)
            return truncated;
    }
    segment.bytes = syncedBytes_ = content.validBytes;
    segment.offsets = std::move(content.offsets);
    segments_.push_back(std::move(segment));
    found.entries.insert(found.entries.end(), std::make_move_iterator(content.entries.begin()), std::make_move_iterator(content.entries.end()));
    return {};
}

Result<void> LogStore::checkAgainstSnapshot(StoredState& found)
{
    if (segments_.empty())
        return {};
    uint64_t snapshotIndex = found.snapshot ? found.snapshot->index : 0;
    if (segments_.front().firstIndex > snapshotIndex + 1)
        return corrupted(segments_.front().path, 0, "entries between the snapshot and this segment are missing");
    if (snapshotIndex == 0)
        return {};
    uint64_t first = segments_.front().firstIndex;
    bool endsBeforeSnapshot = segments_.back().endIndex() <= snapshotIndex;
    bool conflictsWithSnapshot = !endsBeforeSnapshot && first <= snapshotIndex && found.entries[snapshotIndex - first].term != found.snapshot->term;
    if (!endsBeforeSnapshot && !conflictsWithSnapshot)
        return {};
    // The process ended after it had stored a received snapshot and before it removed the log that it replaces.
    found.entries.clear();
    return dropAllSegments();
}

Result<void> LogStore::failStoreOnError(Result<void> result)
{
    if (result)
        return result;
    failed_ = true;
    if (settings_.onFatal)
        settings_.onFatal(result.error());
    return result;
}

Result<void> LogStore::writeFileAtomically(const std::string& name, std::string_view content)
{
    if (failed_)
        return fail(ErrorKind::Internal, "the log store has failed earlier");
    std::string temporary = pathOf(name + std::string(temporarySuffix));
    return failStoreOnError(files_.append(temporary, encodeChecksummedFile(content))
                                .and_then([&] { return files_.sync(temporary); })
                                .and_then([&] { return files_.rename(temporary, pathOf(name)); })
                                .and_then([&] { return files_.syncFolder(settings_.folder); }));
}

Result<void> LogStore::saveHardState(const HardState& state)
{
    return writeFileAtomically(std::string(stateName), encode(state));
}

Result<void> LogStore::saveSnapshot(const Snapshot& snapshot, bool dropLog)
{
    auto saved = writeFileAtomically(fileNameFor(snapshotPrefix, snapshot.index), encode(snapshot));
    if (!saved)
        return saved;
    if (dropLog) {
        if (auto dropped = failStoreOnError(dropAllSegments()); !dropped)
            return dropped;
    }
    return failStoreOnError(removeOldSnapshots(snapshot.index));
}

Result<void> LogStore::removeOldSnapshots(uint64_t keptIndex)
{
    auto names = files_.list(settings_.folder);
    if (!names)
        return tl::unexpected(names.error());
    for (const auto& name : *names) {
        auto index = indexFromFileName(name, snapshotPrefix);
        if (!index || *index >= keptIndex)
            continue;
        if (auto removed = files_.remove(pathOf(name)); !removed)
            return removed;
    }
    return {};
}

Result<void> LogStore::dropAllSegments()
{
    pending_.clear();
    hasUnsyncedName_ = false;
    syncedBytes_ = 0;
    // From the last to the first, so that a crash in between leaves no gap.
    while (!segments_.empty()) {
        if (auto removed = removeDurably(segments_.back().path); !removed)
            return removed;
        segments_.pop_back();
    }
    return {};
}

Result<void> LogStore::removeDurably(const std::string& path)
{
    // Without the sync, a later removal may survive a crash while this one does not.
    return files_.remove(path).and_then([&] { return files_.syncFolder(settings_.folder); });
}

Result<void> LogStore::truncateFrom(uint64_t index)
{
    if (auto flushed = flush(); !flushed)
        return flushed;
    while (segments_.size() > 1 && segments_.back().firstIndex >= index) {
        if (auto removed = failStoreOnError(removeDurably(segments_.back().path)); !removed)
            return removed;
        segments_.pop_back();
    }
    assert(!segments_.empty() && segments_.back().firstIndex <= index);
    Segment& segment = segments_.back();
    if (index < segment.endIndex()) {
        segment.bytes = segment.offsets[index - segment.firstIndex];
        segment.offsets.resize(index - segment.firstIndex);
        if (auto truncated = failStoreOnError(files_.truncate(segment.path, segment.bytes)); !truncated)
            return truncated;
    }
    // If the truncation is not durable, records appended after it could be followed by remains of old ones.
    syncedBytes_ = segment.bytes;
    ++syncCount_;
    if (auto synced = failStoreOnError(files_.sync(segment.path)); !synced || !hasUnsyncedName_)
        return synced;
    hasUnsyncedName_ = false;
    return failStoreOnError(files_.syncFolder(settings_.folder));
}

Result<void> LogStore::append(const LogEntry& entry)
{
    if (failed_)
        return fail(ErrorKind::Internal, "the log store has failed earlier");
    if (segments_.empty() || segments_.back().bytes >= settings_.segmentBytes) {
        if (!segments_.empty()) {
            if (auto synced = sync(); !synced)
                return synced;
        }
        Segment segment;
        segment.firstIndex = entry.index;
        segment.path = pathOf(fileNameFor(segmentPrefix, entry.index));
        segments_.push_back(std::move(segment));
        syncedBytes_ = 0;
        hasUnsyncedName_ = true;
    }
    Segment& segment = segments_.back();
    assert(entry.index == segment.endIndex());
    size_t before = pending_.size();
    appendRecord(pending_, entry, syncedBytes_);
    segment.offsets.push_back(segment.bytes);
    segment.bytes += pending_.size() - before;
    return {};
}

Result<void> LogStore::flush()
{
    if (failed_)
        return fail(ErrorKind::Internal, "the log store has failed earlier");
    if (pending_.empty())
        return {};
    auto written = failStoreOnError(files_.append(segments_.back().path, pending_));
    pending_.clear();
    return written;
}

Result<void> LogStore::sync()
{
    if (pending_.empty() && !failed_)
        return {};
    auto flushed = flush();
    if (!flushed)
        return flushed;
    ++syncCount_;
    if (auto synced = failStoreOnError(files_.sync(segments_.back().path)); !synced)
        return synced;
    syncedBytes_ = segments_.back().bytes;
    if (!hasUnsyncedName_)
        return {};
    hasUnsyncedName_ = false;
    return failStoreOnError(files_.syncFolder(settings_.folder));
}

uint64_t LogStore::logBytes() const
{
    return std::accumulate(segments_.begin(), segments_.end(), uint64_t(0), [](uint64_t sum, const Segment& segment) { return sum + segment.bytes; });
}

Result<void> LogStore::dropUpTo(uint64_t index)
{
    // The removals need not be durable: loadSegment() ignores whatever is left of them. A sync for each would block the voter on a
    // slow disk.
    while (segments_.size() > 1 && segments_[1].firstIndex <= index + 1) {
        if (auto removed = failStoreOnError(files_.remove(segments_.front().path)); !removed)
            return removed;
        segments_.erase(segments_.begin());
    }
    return {};
}

}
