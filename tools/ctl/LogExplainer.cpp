#include "ctl/LogExplainer.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace briarhitch {

namespace {

    using Json = nlohmann::ordered_json;

    /** What happened this long before the request began may still explain it, in milliseconds. */
    constexpr double contextBeforeMs = 2000;

    struct Line {
        double unixMs { 0 };
        bool isOfRequest { false };
        std::string text;
    };

    double timeOf(const Json& json)
    {
        if (json.contains("begun_unix_ms") && json.contains("after_ms"))
            return json["begun_unix_ms"].get<double>() + json["after_ms"].get<double>();
        return json.value("unix_ms", 0.0);
    }

    std::string textOf(const Json& json, bool isOfRequest)
    {
        static const std::vector<std::string> shownElsewhere { "unix_ms", "level", "node", "part", "event", "message", "request", "begun_unix_ms", "after_ms" };
        std::ostringstream text;
        text << (isOfRequest ? "  " : "~ ") << json.value("node", "?") << " " << json.value("part", "?") << ": " << json.value("event", json.value("message", ""));
        for (const auto& [name, value] : json.items()) {
            if (std::find(shownElsewhere.begin(), shownElsewhere.end(), name) == shownElsewhere.end())
                text << " " << name << "=" << (value.is_string() ? value.get<std::string>() : value.dump());
        }
        return text.str();
    }

    std::vector<Line> readLines(const std::string& requestId, std::istream& input)
    {
        std::vector<Line> lines;
        for (std::string text; std::getline(input, text);) {
            auto json = Json::parse(text, nullptr, false);
            if (!json.is_object())
                continue;
            bool isOfRequest = json.value("request", "") == requestId;
            if (isOfRequest || !json.contains("request"))
                lines.push_back({ timeOf(json), isOfRequest, textOf(json, isOfRequest) });
        }
        return lines;
    }

}

Result<std::string> explainFromLogs(const std::string& requestId, const std::vector<std::string>& files)
{
    std::vector<Line> lines;
    for (const auto& name : files) {
        std::ifstream file(name);
        if (!file)
            return fail(ErrorKind::NotFound, "cannot read " + name);
        auto read = readLines(requestId, file);
        lines.insert(lines.end(), std::make_move_iterator(read.begin()), std::make_move_iterator(read.end()));
    }
    std::stable_sort(lines.begin(), lines.end(), [](const Line& left, const Line& right) { return left.unixMs < right.unixMs; });
    auto isOwn = [](const Line& line) { return line.isOfRequest; };
    auto first = std::find_if(lines.begin(), lines.end(), isOwn);
    if (first == lines.end())
        return fail(ErrorKind::NotFound, "no line names request " + requestId + "; good requests are logged one in a hundred");
    auto last = std::find_if(lines.rbegin(), lines.rend(), isOwn);
    std::ostringstream account;
    account << "request " << requestId << "; times in ms since its first line; ~ marks what processes said of themselves\n";
    account.setf(std::ios::fixed);
    account.precision(1);
    for (const auto& line : lines) {
        bool isNear = line.unixMs >= first->unixMs - contextBeforeMs && line.unixMs <= last->unixMs;
        if (line.isOfRequest || isNear)
            account << line.unixMs - first->unixMs << "\t" << line.text << "\n";
    }
    return account.str();
}

}
