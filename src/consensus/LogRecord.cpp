#include "consensus/LogRecord.h"

#include <boost/crc.hpp>

namespace briarhitch {

namespace {

    /*
     * A record: payload length (4), checksum of all that follows (4), bytes of the segment that were synced
     * when it was written (8), index (8), term (8), kind (1), payload. Integers are little-endian.
     */
    constexpr size_t lengthBytes = 4;
    constexpr size_t checksumBytes = 4;
    constexpr size_t checkedHeaderBytes = 8 + 8 + 8 + 1;
    constexpr size_t headerBytes = lengthBytes + checksumBytes + checkedHeaderBytes;
    constexpr std::string_view fileMagic = "BHSEAL01";

    void putInteger(std::string& bytes, uint64_t value, size_t count)
    {
        for (size_t i = 0; i < count; ++i)
            bytes.push_back(static_cast<char>((value >> (8 * i)) & 0xff));
    }

    uint64_t getInteger(std::string_view bytes, size_t offset, size_t count)
    {
        uint64_t value = 0;
        for (size_t i = count; i > 0; --i)
            value = (value << 8) | static_cast<unsigned char>(bytes[offset + i - 1]);
        return value;
    }

    struct Record {
        LogEntry entry;
        uint64_t syncedBytes { 0 };
        size_t size { 0 };
    };

    /**
     * The record at `offset`; none unless it is complete, its checksum matches and its index is possible from minIndex
     * on.
     */
    std::optional<Record> readRecord(std::string_view bytes, size_t offset, uint64_t minIndex)
    {
        if (bytes.size() - offset < headerBytes)
            return std::nullopt;
        uint64_t length = getInteger(bytes, offset, lengthBytes);
        if (length > bytes.size() - offset - headerBytes)
            return std::nullopt;
        size_t checked = offset + lengthBytes + checksumBytes;
        Record record;
        record.syncedBytes = getInteger(bytes, checked, 8);
        record.entry.index = getInteger(bytes, checked + 8, 8);
        record.entry.term = getInteger(bytes, checked + 16, 8);
        auto kind = static_cast<uint8_t>(bytes[checked + 24]);
        // These checks are cheap and avoid the checksum at almost every wrong offset of a search.
        uint64_t maxIndex = minIndex + bytes.size() / headerBytes;
        if (record.entry.index < minIndex || record.entry.index > maxIndex || record.syncedBytes > offset || kind > static_cast<uint8_t>(EntryKind::Membership))
            return std::nullopt;
        if (getInteger(bytes, offset + lengthBytes, checksumBytes) != crc32c(bytes.substr(checked, checkedHeaderBytes + length)))
            return std::nullopt;
        record.entry.kind = static_cast<EntryKind>(kind);
        record.entry.data = bytes.substr(offset + headerBytes, length);
        record.size = headerBytes + length;
        return record;
    }

    /** True if the file ends before the record that starts here, according to its length field. */
    bool isIncomplete(std::string_view bytes, size_t offset)
    {
        size_t left = bytes.size() - offset;
        return left < headerBytes || getInteger(bytes, offset, lengthBytes) > left - headerBytes;
    }

    /** True if a later record shows that the corrupted one had been synced when the later one was written. */
    bool wasSynced(std::string_view bytes, uint64_t corruptedOffset, uint64_t corruptedIndex)
    {
        for (size_t offset = corruptedOffset + 1; offset + headerBytes <= bytes.size(); ++offset) {
            auto record = readRecord(bytes, offset, corruptedIndex);
            if (record && record->syncedBytes > corruptedOffset)
                return true;
        }
        return false;
    }

}

uint32_t crc32c(std::string_view bytes)
{
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

void appendRecord(std::string& bytes, const LogEntry& entry, uint64_t syncedBytes)
{
    size_t start = bytes.size();
    putInteger(bytes, entry.data.size(), lengthBytes);
    putInteger(bytes, 0, checksumBytes);
    size_t checked = bytes.size();
    putInteger(bytes, syncedBytes, 8);
    putInteger(bytes, entry.index, 8);
    putInteger(bytes, entry.term, 8);
    bytes.push_back(static_cast<char>(entry.kind));
    bytes += entry.data;
    std::string checksum;
    putInteger(checksum, crc32c(std::string_view(bytes).substr(checked)), checksumBytes);
    bytes.replace(start + lengthBytes, checksumBytes, checksum);
}

SegmentContent readSegment(std::string_view bytes, uint64_t firstIndex)
{
    SegmentContent content;
    size_t offset = 0;
    uint64_t index = firstIndex;
    while (offset < bytes.size()) {
        auto record = readRecord(bytes, offset, index);
        if (!record || record->entry.index != index) {
            // A write that a crash interrupted is at the end of the file. A complete record with a wrong checksum was
            // corrupted later, and so was a length that seems to exceed the file although synced records follow.
            if (!isIncomplete(bytes, offset) || wasSynced(bytes, offset, index))
                content.corruptedAt = offset;
            break;
        }
        content.offsets.push_back(offset);
        content.entries.push_back(std::move(record->entry));
        offset += record->size;
        ++index;
    }
    content.validBytes = offset;
    return content;
}

std::string encodeChecksummedFile(std::string_view content)
{
    std::string bytes(fileMagic);
    putInteger(bytes, crc32c(content), checksumBytes);
    bytes += content;
    return bytes;
}

Result<std::string_view> decodeChecksummedFile(std::string_view bytes, const std::string& path)
{
    size_t start = fileMagic.size() + checksumBytes;
    if (bytes.size() < start || bytes.substr(0, fileMagic.size()) != fileMagic)
        return fail(ErrorKind::Damaged, path + " is damaged at offset 0: no file header");
    auto content = bytes.substr(start);
    if (getInteger(bytes, fileMagic.size(), checksumBytes) != crc32c(content))
        return fail(ErrorKind::Damaged, path + " is damaged at offset " + std::to_string(start) + ": checksum does not match");
    return content;
}

}
