#include "briarhitch/runtime/Guard.h"

#include <exception>
#include <string>

namespace briarhitch {

namespace {

    uint64_t exceptionCount = 0;

}

bool runGuarded(const Log& log, std::string_view what, const std::function<void()>& body)
{
    // Boost.Fiber unwinds stacks with an exception of its own, which must not be caught.
    try {
        body();
        return true;
    } catch (const std::exception& exception) {
        ++exceptionCount;
        log.error(std::string(what) + " ended with an unexpected exception: " + exception.what());
        return false;
    }
}

uint64_t guardedExceptions()
{
    return exceptionCount;
}

}
