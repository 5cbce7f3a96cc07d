#pragma once

#include "briarhitch/entry/EntryNode.h"

#include <optional>
#include <string>

namespace briarhitch {

/**
 * Runs an entry until it has drained after SIGTERM or SIGINT, and returns the process's exit code. The settings file is
 * reloaded when its content has changed, which is checked every 2 s and on SIGHUP.
 */
int runEntryProcess(EntrySettings settings, std::optional<EntryExtensions> extensions, const std::string& settingsPath);

}
