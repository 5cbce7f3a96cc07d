#pragma once

#include "Simulation.h"

#include <nlohmann/json.hpp>

namespace briarhitch::bench {

struct MeasurementSettings {
    std::string caseName;
    std::string policy;
    std::string deployment { "lockstone" };
    bool bursts { false };
    uint64_t seed { 1 };
    std::set<std::string> disabledParts;
    std::map<std::string, double> floors;
    size_t maxQueued { 20000 };
};

/** Runs a case, with the runs that it is compared with, and gives all figures; the order of the fields is fixed. */
nlohmann::ordered_json measure(const MeasurementSettings& settings);
/** The median of each number over measurements of different seeds; other values are taken from the first. */
nlohmann::ordered_json medianOf(const std::vector<nlohmann::ordered_json>& measurements);

}
