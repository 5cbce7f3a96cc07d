#include "briarhitch/runtime/Descriptors.h"

#include <algorithm>
#include <cerrno>
#include <dirent.h>
#include <memory>
#include <sys/resource.h>

namespace briarhitch {

namespace {

    /** Links to all nodes of a large fleet, files and the epoll descriptors. */
    constexpr size_t maxReserve = 512;
    /** Used if the limit cannot be read; the usual default of the system. */
    constexpr size_t fallbackLimit = 1024;
    constexpr size_t maxInternalConnections = 256;
    /** "." and "..", and the descriptor that reads the folder. */
    constexpr size_t ownEntries = 3;

}

size_t descriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return fallbackLimit;
    return limit.rlim_cur;
}

size_t openDescriptors()
{
    std::unique_ptr<DIR, int (*)(DIR*)> folder(opendir("/proc/self/fd"), &closedir);
    if (!folder)
        return errno == EMFILE ? descriptorLimit() : 0;
    size_t count = 0;
    while (readdir(folder.get()) != nullptr)
        ++count;
    return count - std::min(count, ownEntries);
}

ListenerLimits deriveListenerLimits(size_t descriptors)
{
    size_t free = descriptors - std::min(maxReserve, descriptors / 4);
    ListenerLimits limits;
    limits.internal = std::clamp<size_t>(free / 8, 1, maxInternalConnections);
    // A request of a caller may need one more descriptor for its target.
    limits.callers = std::max<size_t>((free - std::min(free, limits.internal)) / 2, 1);
    return limits;
}

}
