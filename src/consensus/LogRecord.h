#pragma once

#include "briarhitch/core/Error.h"
#include "consensus/RaftTypes.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace briarhitch {

/** CRC-32C, as in iSCSI. */
uint32_t crc32c(std::string_view bytes);

/** Adds one entry to the bytes of a segment; syncedBytes is the part of the segment that was synced before. */
void appendRecord(std::string& bytes, const LogEntry& entry, uint64_t syncedBytes);

/** The entries of one segment and where each of them starts. */
struct SegmentContent {
    std::vector<LogEntry> entries;
    std::vector<uint64_t> offsets;
    /** Bytes before the torn tail; the whole size if there is none. */
    uint64_t goodBytes { 0 };
    /** Where a record is bad that is not just a last one cut short. */
    std::optional<uint64_t> damagedAt;
};

/** Reads a segment whose first entry has this index. */
SegmentContent readSegment(std::string_view bytes, uint64_t firstIndex);

/** A checked file that is written at once: magic, checksum, content. */
std::string sealFile(std::string_view content);
/** The content; Damaged, naming the file, if the checksum does not match. */
Result<std::string_view> openSealed(std::string_view bytes, const std::string& path);

}
