#pragma once

#include <sys/types.h>

namespace briarhitch {

/** What the kernel counts for one process. */
struct ProcessUsage {
    /** Seconds on a processor since the process started. */
    double cpuSeconds { 0 };
    /** Resident memory, bytes. */
    double residentBytes { 0 };
};

/** All zero if there is no such process. */
ProcessUsage readUsage(pid_t process);

}
