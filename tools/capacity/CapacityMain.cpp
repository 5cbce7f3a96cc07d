#include "capacity/CapacityTable.h"
#include "capacity/FleetSlopes.h"
#include "capacity/RecoveryTimes.h"
#include "capacity/StaticSlopes.h"

#include "briarhitch/runtime/Loop.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <cstdio>
#include <exception>
#include <functional>

ABSL_FLAG(std::string, programs, "build/bin", "folder of the daemons and stand-ins");
ABSL_FLAG(std::string, folder, "/tmp/briarhitch-capacity", "folder for settings, logs and data; removed at the end");
ABSL_FLAG(std::string, fill_page, "", "page whose table is filled in from --data, in place of a measurement");
ABSL_FLAG(std::string, data, "docs/data/capacity.json", "JSON line of an earlier run, for --fill_page");
ABSL_FLAG(std::string, only, "", "one of messages, nodes, configuration, requests, decisions, records (all if empty); or recovery, for docs/PERFORMANCE.md");

namespace briarhitch {
namespace {

    void addSlopes(nlohmann::ordered_json& result, const std::vector<Slope>& slopes)
    {
        for (const auto& slope : slopes)
            result["slopes"][slope.name] = toJson(slope);
    }

    void addFleet(nlohmann::ordered_json& result, const FleetSlopes& measured)
    {
        addSlopes(result, measured.slopes);
        if (measured.figures.is_object())
            result["figures"].update(measured.figures);
    }

    void addStatic(nlohmann::ordered_json& result)
    {
        for (const auto& [name, bytes] : messageBytes())
            result["message_bytes"][name] = bytes;
        addSlopes(result, configurationSlopes());
        addSlopes(result, runRecordSnapshotSlopes());
        addSlopes(result, { linkCallSlope() });
    }

    nlohmann::ordered_json measureAll(const std::string& only)
    {
        auto programs = absl::GetFlag(FLAGS_programs);
        auto folder = absl::GetFlag(FLAGS_folder);
        auto isWanted = [&](const char* part) { return only.empty() || only == part; };
        nlohmann::ordered_json result;
        if (isWanted("messages"))
            addStatic(result);
        using Measure = FleetSlopes (*)(const std::string&, const std::string&);
        const std::vector<std::pair<const char*, Measure>> parts { { "nodes", measureNodes }, { "configuration", measureConfiguration },
            { "requests", measureRequests }, { "decisions", measureDecisions }, { "records", measureRunRecords } };
        for (const auto& [name, measure] : parts) {
            if (isWanted(name))
                addFleet(result, measure(programs, folder));
        }
        // Not part of the capacity run: it takes minutes by itself.
        if (only == "recovery")
            result = measureRecovery(programs, folder);
        return result;
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("measures the slopes behind docs/CAPACITY.md on processes of this repository; prints one JSON line");
    absl::ParseCommandLine(argc, argv);
    try {
        if (auto page = absl::GetFlag(FLAGS_fill_page); !page.empty()) {
            briarhitch::fillPage(page, absl::GetFlag(FLAGS_data));
            return 0;
        }
        std::printf("%s\n", briarhitch::measureAll(absl::GetFlag(FLAGS_only)).dump().c_str());
        std::fflush(stdout);
        // Links that were measured leave fibers behind, for which an orderly exit would wait for good.
        briarhitch::exitProcess(0);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "capacity: %s\n", error.what());
        briarhitch::exitProcess(1);
    }
}
