#pragma once

#include "briarhitch/core/Log.h"

#include <functional>
#include <string_view>

namespace briarhitch {

/**
 * Runs one exchange or one step of a task. An exception ends only this one and is logged with `what`; returns false
 * then. Input from one peer must not end the process for all others.
 */
bool runGuarded(const Log& log, std::string_view what, const std::function<void()>& body);

/** Number of exceptions that runGuarded() has caught in this process. */
[[nodiscard]] uint64_t guardedExceptions();

}
