#pragma once

#include <cstddef>
#include <optional>

namespace briarhitch {

class SettingsReader;

/** Limits of the memory that a process holds for callers; derived from the machine's memory where not set. */
struct MemorySettings {
    std::optional<size_t> requestBytes;
    /** Part of requestBytes that only small requests may use. */
    std::optional<size_t> reservedBytes;
};

/** Reads the object "memory" if there is one. */
MemorySettings readMemorySettings(SettingsReader& reader);

}
