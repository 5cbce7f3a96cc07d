#pragma once

#include "briarhitch/core/Random.h"

#include <string>

namespace briarhitch {

/** Changes, inserts, erases or cuts a few bytes at random places. */
inline std::string mutate(std::string bytes, Random& random)
{
    for (uint64_t i = 0; i <= random.below(4) && !bytes.empty(); ++i) {
        size_t place = random.below(bytes.size());
        switch (random.below(4)) {
        case 0:
            bytes[place] = static_cast<char>(random.below(256));
            break;
        case 1:
            bytes.insert(place, 1, static_cast<char>(random.below(256)));
            break;
        case 2:
            bytes.erase(place, 1 + random.below(3));
            break;
        default:
            bytes.resize(place);
            break;
        }
    }
    return bytes;
}

}
