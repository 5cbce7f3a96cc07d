#pragma once

#include "briarhitch/core/Random.h"

#include <string>

namespace briarhitch {

/** Changes, inserts, erases or truncates bytes at a few random positions. */
inline std::string mutate(std::string bytes, Random& random)
{
    for (uint64_t i = 0; i <= random.below(4) && !bytes.empty(); ++i) {
        size_t position = random.below(bytes.size());
        switch (random.below(4)) {
        case 0:
            bytes[position] = static_cast<char>(random.below(256));
            break;
        case 1:
            bytes.insert(position, 1, static_cast<char>(random.below(256)));
            break;
        case 2:
            bytes.erase(position, 1 + random.below(3));
            break;
        default:
            bytes.resize(position);
            break;
        }
    }
    return bytes;
}

}
