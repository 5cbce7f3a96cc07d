#pragma once

#include <cstdint>
#include <string_view>

namespace briarhitch {

/** What is believed of a part of prompts that several requests share. */
enum class PartState : uint8_t {
    /** It may have crashed a target; requests with it still run. */
    Suspected,
    /** Requests with it are refused, apart from single trials. */
    Blocked,
    /** A target answered a request with it after it was blocked. */
    Cleared,
};

std::string_view toString(PartState state);

}
