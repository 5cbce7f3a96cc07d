#include "briarhitch/model/PartState.h"

namespace briarhitch {

std::string_view toString(PartState state)
{
    switch (state) {
    case PartState::Suspected:
        return "suspected";
    case PartState::Blocked:
        return "blocked";
    case PartState::Cleared:
        return "cleared";
    }
    return "unknown";
}

}
