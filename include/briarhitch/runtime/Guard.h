#pragma once

#include "briarhitch/core/Log.h"

#include <functional>
#include <string_view>

namespace briarhitch {

/**
 * Runs one exchange or one step of a task; an exception ends it alone and is logged with `what`. False if there was
 * one. What a peer sent must not end the process for all others.
 */
bool runGuarded(const Log& log, std::string_view what, const std::function<void()>& body);

/** Exceptions that runGuarded() has ended in this process. */
[[nodiscard]] uint64_t guardedExceptions();

}
