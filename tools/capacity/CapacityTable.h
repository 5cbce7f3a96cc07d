#pragma once

#include "briarhitch/core/Error.h"

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace briarhitch {

/**
 * A row of the table in docs/CAPACITY.md: | what | source | count | factor | result | unit |. The source is
 * `line:SLOPE` (intercept + slope * count), `slope:SLOPE` (slope * count), `message:NAME` (bytes * count) or
 * `figure:NAME` (figure * count); the result is that times the factor.
 */
struct CapacityRow {
    std::string source;
    double count { 0 };
    double factor { 0 };
    std::string result;
};

/** NotFound if the data lack the row's source. */
Result<double> computeResult(const CapacityRow& row, const nlohmann::json& data);
/** Three significant digits, as the page shows results. */
std::string formatResult(double value);
/** The page with the result of each row computed from the data; rows without a known source stay as they are. */
Result<std::string> fillTable(const std::string& page, const nlohmann::json& data);
/** Fills the table of a file in place; throws std::runtime_error if the page or the data are unfit. */
void fillPage(const std::string& pagePath, const std::string& dataPath);

}
