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

/**
 * Appends the record of one entry to the bytes of a segment; syncedBytes is the size of the segment that is already
 * synced.
 */
void appendRecord(std::string& bytes, const LogEntry& entry, uint64_t syncedBytes);

/** The entries of one segment and the offset of each. */
struct SegmentContent {
    std::vector<LogEntry> entries;
    std::vector<uint64_t> offsets;
    /** Bytes before an incomplete last record; the whole size if there is none. */
    uint64_t validBytes { 0 };
    /** Offset of a corrupted record, unless it is a last one whose write was interrupted. */
    std::optional<uint64_t> corruptedAt;
};

/** Reads a segment whose first entry has this index. */
SegmentContent readSegment(std::string_view bytes, uint64_t firstIndex);

/** Encodes a file that is written as a whole: magic, checksum, content. */
std::string encodeChecksummedFile(std::string_view content);
/** The content; Damaged, with the path in the message, if the checksum does not match. */
Result<std::string_view> decodeChecksummedFile(std::string_view bytes, const std::string& path);

}
