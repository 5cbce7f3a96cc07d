#pragma once

#include <cstddef>

namespace briarhitch {

/** The process's present limit of open descriptors. */
size_t descriptorLimit();
/** Descriptors that the process has open; zero if they cannot be counted. */
size_t openDescriptors();

/** Parts of the descriptors that are left after the reserve for links, targets, files and other ports. */
struct ListenerLimits {
    size_t callers { 0 };
    /** For the operators' port, and for the port of readiness and metrics. */
    size_t internal { 0 };
};
ListenerLimits deriveListenerLimits(size_t descriptors);

}
