#pragma once

#include "briarhitch/sched/CrashSuspects.h"

#include <iterator>
#include <utility>
#include <vector>

namespace briarhitch {

inline void append(std::vector<SuspectVerdict>& verdicts, std::vector<SuspectVerdict> more)
{
    std::move(more.begin(), more.end(), std::back_inserter(verdicts));
}

}
