#pragma once

#include <string_view>

namespace briarhitch {

/** What a metric counts or measures, for the HELP line; empty for an unknown name. */
std::string_view metricHelp(std::string_view name);

}
