#include "capacity/Slope.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace briarhitch {

namespace {

    /** Part of the largest value below which differences are taken for noise. */
    constexpr double smallestChange = 0.1;

    struct Line {
        double slope { 0 };
        double intercept { 0 };
    };

    Line leastSquares(const std::vector<Point>& points)
    {
        double n = static_cast<double>(points.size());
        double sumX = 0;
        double sumY = 0;
        double sumXX = 0;
        double sumXY = 0;
        for (const auto& point : points) {
            sumX += point.x;
            sumY += point.y;
            sumXX += point.x * point.x;
            sumXY += point.x * point.y;
        }
        double divisor = n * sumXX - sumX * sumX;
        assert(divisor != 0);
        Line line;
        line.slope = (n * sumXY - sumX * sumY) / divisor;
        line.intercept = (sumY - line.slope * sumX) / n;
        return line;
    }

    double slopeBetween(const Point& first, const Point& second)
    {
        return (second.y - first.y) / (second.x - first.x);
    }

    bool hasBend(const std::vector<Point>& points)
    {
        if (points.size() < 4)
            return false;
        size_t middle = points.size() / 2;
        double lower = slopeBetween(points.front(), points[middle]);
        double upper = slopeBetween(points[middle], points.back());
        double larger = std::max(std::abs(lower), std::abs(upper));
        double maxY = 0;
        for (const auto& point : points)
            maxY = std::max(maxY, std::abs(point.y));
        // A quantity that hardly changes over the whole range has noise, but no bend.
        bool changes = larger * (points.back().x - points.front().x) > smallestChange * maxY;
        return changes && std::abs(upper - lower) > 0.5 * larger;
    }

}

Slope fitLine(std::string name, std::string unit, std::vector<Point> points)
{
    assert(points.size() >= 2);
    Slope result;
    result.name = std::move(name);
    result.unit = std::move(unit);
    result.points = std::move(points);
    auto line = leastSquares(result.points);
    result.slope = line.slope;
    result.intercept = line.intercept;

    double meanY = 0;
    double maxY = 0;
    for (const auto& point : result.points) {
        meanY += point.y / static_cast<double>(result.points.size());
        maxY = std::max(maxY, std::abs(point.y));
    }
    double unexplained = 0;
    double total = 0;
    double largest = 0;
    for (const auto& point : result.points) {
        double distance = point.y - (line.intercept + line.slope * point.x);
        unexplained += distance * distance;
        total += (point.y - meanY) * (point.y - meanY);
        largest = std::max(largest, std::abs(distance));
    }
    result.r2 = total > 0 ? 1 - unexplained / total : 1;
    result.residual = maxY > 0 ? largest / maxY : 0;
    result.bends = hasBend(result.points);
    return result;
}

nlohmann::ordered_json toJson(const Slope& slope)
{
    nlohmann::ordered_json points = nlohmann::ordered_json::array();
    for (const auto& point : slope.points)
        points.push_back({ point.x, point.y });
    return { { "unit", slope.unit }, { "slope", slope.slope }, { "intercept", slope.intercept }, { "r2", slope.r2 },
        { "residual", slope.residual }, { "bends", slope.bends }, { "points", points } };
}

}
