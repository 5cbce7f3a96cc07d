#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace briarhitch::bench {

/** Measurements from a file with one JSON object in each line; empty if it cannot be read. */
std::vector<nlohmann::ordered_json> readMeasurements(const std::string& path);
/** A Markdown table with a row for each measurement. */
std::string tableOf(const std::vector<nlohmann::ordered_json>& measurements);
/** A Markdown table of the acceptance bars, "briarhitch" against the baselines of the same case and deployment. */
std::string barsOf(const std::vector<nlohmann::ordered_json>& measurements);
/** An SVG with the goodput of the most urgent tier and of all tiers, by case and policy. */
std::string plotOf(const std::vector<nlohmann::ordered_json>& measurements);

}
