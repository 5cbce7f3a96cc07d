#include "briarhitch/settings/MemorySettings.h"

#include "briarhitch/settings/SettingsReader.h"

namespace briarhitch {

namespace {

    constexpr int64_t minBytes = 64 * 1024;
    constexpr int64_t maxBytes = 64LL << 30;

    std::optional<size_t> readBytes(SettingsReader& reader, const char* name)
    {
        // Zero stands for a field that is not set.
        auto bytes = reader.integer(name, 0, maxBytes, 0);
        if (bytes != 0 && bytes < minBytes)
            reader.addProblem(name, "must be at least " + std::to_string(minBytes));
        return bytes == 0 ? std::nullopt : std::optional<size_t>(static_cast<size_t>(bytes));
    }

}

MemorySettings readMemorySettings(SettingsReader& reader)
{
    MemorySettings settings;
    reader.object("memory", false, [&](SettingsReader& memory) {
        settings.requestBytes = readBytes(memory, "request_bytes");
        settings.reservedBytes = readBytes(memory, "reserved_bytes");
        if (settings.requestBytes && settings.reservedBytes && *settings.reservedBytes >= *settings.requestBytes)
            memory.addProblem("reserved_bytes", "must be less than request_bytes");
    });
    return settings;
}

}
