#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace briarhitch {

struct Point {
    double x { 0 };
    double y { 0 };
};

/** A straight line through measured points. */
struct Slope {
    std::string name;
    /** Units of y for one unit of x, for example "bytes/node". */
    std::string unit;
    std::vector<Point> points;
    double slope { 0 };
    double intercept { 0 };
    /** Part of the variance that the line explains, 0 to 1. */
    double r2 { 0 };
    /** Largest distance of a point from the line, as a part of the largest y. */
    double residual { 0 };
    /** The slope of the upper half of the points differs from that of the lower half by more than half. */
    bool bends { false };
};

/** Least squares; needs at least two points with different x. */
Slope fitLine(std::string name, std::string unit, std::vector<Point> points);
nlohmann::ordered_json toJson(const Slope& slope);

}
