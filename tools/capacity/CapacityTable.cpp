#include "capacity/CapacityTable.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

namespace briarhitch {

namespace {

    using Json = nlohmann::json;

    /** Cells of a row, with the empty ones before the first and after the last bar. */
    constexpr size_t cellCount = 8;
    constexpr size_t sourceCell = 2;
    constexpr size_t countCell = 3;
    constexpr size_t factorCell = 4;
    constexpr size_t resultCell = 5;

    std::string trimmed(const std::string& cell)
    {
        return std::string(absl::StripAsciiWhitespace(cell));
    }

    /** A number, or a product or quotient such as "8100/320". */
    Result<double> parseExpression(const std::string& text)
    {
        double value = 1;
        char sign = '*';
        std::string rest = text;
        while (!rest.empty()) {
            auto end = rest.find_first_of("*/");
            double operand = 0;
            if (!absl::SimpleAtod(rest.substr(0, end), &operand))
                return fail(ErrorKind::BadRequest, "not a number: " + text);
            value = sign == '*' ? value * operand : value / operand;
            if (end == std::string::npos)
                return value;
            sign = rest[end];
            rest = rest.substr(end + 1);
        }
        return fail(ErrorKind::BadRequest, "not a number: " + text);
    }

    Result<std::string> fillRow(const std::string& line, const Json& data)
    {
        std::vector<std::string> cells = absl::StrSplit(line, '|');
        if (cells.size() != cellCount || trimmed(cells[sourceCell]).find(':') == std::string::npos)
            return line;
        CapacityRow row;
        row.source = trimmed(cells[sourceCell]);
        auto count = parseExpression(trimmed(cells[countCell]));
        auto factor = parseExpression(trimmed(cells[factorCell]));
        if (!count || !factor)
            return fail(ErrorKind::BadRequest, "count or factor is not a number in: " + line);
        row.count = *count;
        row.factor = *factor;
        auto value = computeResult(row, data);
        if (!value)
            return tl::unexpected(value.error());
        cells[resultCell] = " " + formatResult(*value) + " ";
        return absl::StrJoin(cells, "|");
    }

    std::string readFile(const std::string& path)
    {
        std::ifstream stream(path);
        if (!stream)
            throw std::runtime_error(path + ": cannot be read");
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

}

Result<double> computeResult(const CapacityRow& row, const Json& data)
{
    std::vector<std::string> parts = absl::StrSplit(row.source, absl::MaxSplits(':', 1));
    const std::string kind = parts[0];
    const std::string name = parts.size() > 1 ? parts[1] : "";
    const char* group = kind == "message" ? "message_bytes" : kind == "figure" ? "figures"
                                                                               : "slopes";
    if (!data.contains(group) || !data[group].contains(name))
        return fail(ErrorKind::NotFound, "the data have no " + row.source);
    const auto& entry = data[group][name];
    if (kind == "line")
        return (entry["intercept"].get<double>() + entry["slope"].get<double>() * row.count) * row.factor;
    if (kind == "slope")
        return entry["slope"].get<double>() * row.count * row.factor;
    if (kind == "message" || kind == "figure")
        return entry.get<double>() * row.count * row.factor;
    return fail(ErrorKind::NotFound, "unknown kind of source: " + row.source);
}

std::string formatResult(double value)
{
    return absl::StrFormat("%.3g", value);
}

Result<std::string> fillTable(const std::string& page, const Json& data)
{
    std::vector<std::string> lines = absl::StrSplit(page, '\n');
    for (auto& line : lines) {
        auto filled = fillRow(line, data);
        if (!filled)
            return tl::unexpected(filled.error());
        line = std::move(*filled);
    }
    return absl::StrJoin(lines, "\n");
}

void fillPage(const std::string& pagePath, const std::string& dataPath)
{
    auto filled = fillTable(readFile(pagePath), Json::parse(readFile(dataPath)));
    if (!filled)
        throw std::runtime_error(filled.error().message);
    std::ofstream(pagePath) << *filled;
}

}
