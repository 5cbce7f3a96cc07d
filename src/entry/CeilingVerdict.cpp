#include "briarhitch/entry/CeilingVerdict.h"

namespace briarhitch {

std::string_view toString(CeilingDecider decider)
{
    switch (decider) {
    case CeilingDecider::None:
        return "none";
    case CeilingDecider::Owner:
        return "owner";
    case CeilingDecider::Entry:
        return "entry";
    }
    return "unknown";
}

}
