#include "capacity/StaticSlopes.h"

#include <cstdio>

using namespace briarhitch;

int main()
{
    nlohmann::ordered_json result;
    for (const auto& [name, bytes] : messageBytes())
        result["message_bytes"][name] = bytes;
    for (const auto& slope : configurationSlopes())
        result["slopes"][slope.name] = toJson(slope);
    std::printf("%s\n", result.dump().c_str());
    return 0;
}
