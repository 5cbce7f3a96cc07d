#include "capacity/ProcessUsage.h"

#include <fstream>
#include <string>
#include <unistd.h>

namespace briarhitch {

ProcessUsage readUsage(pid_t process)
{
    ProcessUsage usage;
    std::string folder = "/proc/" + std::to_string(process);
    // schedstat counts nanoseconds; the ticks of /proc/PID/stat are too coarse for an idle process.
    std::ifstream schedule(folder + "/schedstat");
    double nanoseconds = 0;
    if (schedule >> nanoseconds)
        usage.cpuSeconds = nanoseconds * 1e-9;
    std::ifstream memory(folder + "/statm");
    double totalPages = 0;
    double residentPages = 0;
    if (memory >> totalPages >> residentPages)
        usage.residentBytes = residentPages * static_cast<double>(sysconf(_SC_PAGESIZE));
    return usage;
}

}
