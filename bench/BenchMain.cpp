#include "Measurement.h"
#include "ScaleCase.h"
#include "Summary.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <iostream>

ABSL_FLAG(std::string, case, "steady", "case to run; \"scale\" measures the time of a decision, \"list\" prints the names");
ABSL_FLAG(std::string, policy, "briarhitch", "registered scheduling policy");
ABSL_FLAG(uint64_t, seed, 1, "seed of arrivals and choices");
ABSL_FLAG(uint64_t, seeds, 0, "if greater than zero: run seeds 1 to this number and print medians");
ABSL_FLAG(std::string, deployment, "lockstone", "lockstone or pincel");
ABSL_FLAG(std::string, arrivals, "", "poisson or bursts; the case's own if empty");
ABSL_FLAG(std::string, disable, "", "parts of the policy to switch off, separated by commas");
ABSL_FLAG(std::string, floors, "", "floors by kind of work, for example plan:0.2,tag:0.05");
ABSL_FLAG(uint64_t, max_queued, 20000, "most requests in the pool's queue");
ABSL_FLAG(std::string, table, "", "file of measurements, one in each line; prints them as a Markdown table");
ABSL_FLAG(std::string, bars, "", "file of measurements; prints the acceptance bars as a Markdown table");
ABSL_FLAG(std::string, plot, "", "file of measurements; prints an SVG");
ABSL_FLAG(bool, json, false, "print one line of JSON instead of an indented object");

namespace briarhitch::bench {
namespace {

    using Json = nlohmann::ordered_json;

    int complain(const std::string& message)
    {
        std::cerr << "briarhitch-bench: " << message << "\n";
        return 2;
    }

    void print(const Json& json)
    {
        std::cout << json.dump(absl::GetFlag(FLAGS_json) ? -1 : 2) << "\n";
    }

    bool readFloors(std::map<std::string, double>& floors)
    {
        for (absl::string_view part : absl::StrSplit(absl::GetFlag(FLAGS_floors), ',', absl::SkipEmpty())) {
            const std::pair<std::string, std::string> pair = absl::StrSplit(part, absl::MaxSplits(':', 1));
            if (!absl::SimpleAtod(pair.second, &floors[pair.first]))
                return false;
        }
        return true;
    }

    /** Whether a summary of a file was asked for; prints it. */
    bool printSummary()
    {
        const std::string table = absl::GetFlag(FLAGS_table);
        const std::string bars = absl::GetFlag(FLAGS_bars);
        const std::string plot = absl::GetFlag(FLAGS_plot);
        if (!table.empty())
            std::cout << tableOf(readMeasurements(table));
        if (!bars.empty())
            std::cout << barsOf(readMeasurements(bars));
        if (!plot.empty())
            std::cout << plotOf(readMeasurements(plot));
        return !table.empty() || !bars.empty() || !plot.empty();
    }

    int runBench()
    {
        if (printSummary())
            return 0;
        MeasurementSettings settings;
        settings.caseName = absl::GetFlag(FLAGS_case);
        settings.policy = absl::GetFlag(FLAGS_policy);
        settings.deployment = absl::GetFlag(FLAGS_deployment);
        settings.bursts = absl::GetFlag(FLAGS_arrivals) == "bursts";
        settings.seed = absl::GetFlag(FLAGS_seed);
        settings.maxQueued = absl::GetFlag(FLAGS_max_queued);
        settings.disabledParts = absl::StrSplit(absl::GetFlag(FLAGS_disable), ',', absl::SkipEmpty());
        if (settings.caseName == "list") {
            for (const auto& name : caseNames())
                std::cout << name << "\n";
            return 0;
        }
        if (!PoolSchedulerRegistry::find(settings.policy))
            return complain("no scheduling policy is named " + settings.policy);
        if (settings.caseName == "scale") {
            print(measureScale(settings.policy, settings.seed));
            return 0;
        }
        if (caseByName(settings.caseName).name.empty())
            return complain("no case is named " + settings.caseName);
        if (fleetOf(settings.deployment).empty())
            return complain("no deployment is named " + settings.deployment);
        if (!readFloors(settings.floors))
            return complain("floors are given as KIND:PART,...");
        const uint64_t seeds = absl::GetFlag(FLAGS_seeds);
        if (seeds == 0) {
            print(measure(settings));
            return 0;
        }
        std::vector<Json> measurements;
        for (settings.seed = 1; settings.seed <= seeds; ++settings.seed)
            measurements.push_back(measure(settings));
        Json json = medianOf(measurements);
        json["seed"] = "median of 1 to " + std::to_string(seeds);
        print(json);
        return 0;
    }

}
}

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Drives the scheduling policies against small fake engines under an injected clock.");
    absl::ParseCommandLine(argc, argv);
    return briarhitch::bench::runBench();
}
