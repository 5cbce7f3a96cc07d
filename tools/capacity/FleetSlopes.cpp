#include "capacity/FleetSlopes.h"

#include "capacity/CapacityFleet.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <stdexcept>

namespace briarhitch {

namespace {

    constexpr double microseconds = 1e6;
    constexpr double milliseconds = 1e3;
    constexpr size_t timedChanges = 3;
    constexpr double idleWindowSeconds = 8;
    constexpr double configurationWindowSeconds = 6;
    constexpr double loadSeconds = 6;
    const std::vector<size_t> nodeCounts { 4, 16, 64, 160 };
    const std::vector<size_t> customerCounts { 5, 500, 1500, 3000, 4500 };
    const std::vector<size_t> targetCounts { 15, 300, 900, 1500, 2100 };
    const std::vector<size_t> requestRates { 25, 50, 100, 200 };
    const std::vector<size_t> tokenCounts { 10, 50, 100, 200 };
    const std::vector<size_t> chargeRates { 20, 40, 80, 160 };

    void progress(const std::string& text)
    {
        std::fprintf(stderr, "capacity: %s\n", text.c_str());
    }

    /** Mean over the entries; the first element is the control process. */
    Usage meanOfEntries(const std::vector<Usage>& usage)
    {
        Usage mean;
        auto count = static_cast<double>(usage.size() - 1);
        for (size_t i = 1; i < usage.size(); ++i) {
            mean.cpu += usage[i].cpu / count;
            mean.residentBytes += usage[i].residentBytes / count;
            mean.linkBytesSent += usage[i].linkBytesSent / count;
            mean.linkBytesReceived += usage[i].linkBytesReceived / count;
        }
        return mean;
    }

    double meanEntryMemory(const CapacityFleet::Totals& totals)
    {
        double sum = 0;
        for (size_t i = 1; i < totals.usage.size(); ++i)
            sum += totals.usage[i].residentBytes;
        return sum / static_cast<double>(totals.usage.size() - 1);
    }

    double median(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        return values[values.size() / 2];
    }

    /** Points of several quantities over the same x. */
    class Table {
    public:
        void add(const std::string& name, const std::string& unit, double x, double y)
        {
            auto it = std::find_if(rows_.begin(), rows_.end(), [&](const Row& row) { return row.name == name; });
            if (it == rows_.end())
                it = rows_.insert(rows_.end(), Row { name, unit, {} });
            it->points.push_back({ x, y });
        }

        [[nodiscard]] std::vector<Slope> fit() const
        {
            std::vector<Slope> slopes;
            slopes.reserve(rows_.size());
            for (const auto& row : rows_)
                slopes.push_back(fitLine(row.name, row.unit, row.points));
            return slopes;
        }

    private:
        struct Row {
            std::string name;
            std::string unit;
            std::vector<Point> points;
        };
        std::vector<Row> rows_;
    };

    double answeredOf(const nlohmann::json& result)
    {
        return result.at("answered").get<double>();
    }

    /** Differences of the processes' counters over one run of the load generator. */
    struct LoadCost {
        double answered { 0 };
        double controlCpu { 0 };
        double entryCpu { 0 };
        double linkBytes { 0 };
    };

    LoadCost costOf(CapacityFleet& fleet, const std::vector<std::string>& flags, const nlohmann::json& mix)
    {
        auto before = fleet.totals();
        LoadCost cost;
        cost.answered = answeredOf(fleet.load(flags, mix));
        auto after = fleet.totals();
        for (size_t i = 0; i < after.usage.size(); ++i) {
            double cpu = after.usage[i].cpuSeconds - before.usage[i].cpuSeconds;
            (i == 0 ? cost.controlCpu : cost.entryCpu) += cpu;
            if (i > 0)
                cost.linkBytes += after.sent[i] - before.sent[i];
        }
        return cost;
    }

}

FleetSlopes measureNodes(const std::string& programs, const std::string& folder)
{
    CapacityFleet fleet(programs, folder);
    fleet.startControl();
    fleet.addCustomers(1, 6);
    Table table;
    for (size_t nodes : nodeCounts) {
        progress(std::to_string(nodes) + " idle entries");
        fleet.growTo(nodes);
        std::vector<double> times(timedChanges);
        std::generate(times.begin(), times.end(), [&] { return fleet.timeToForce(); });
        auto usage = fleet.measure(idleWindowSeconds);
        auto entry = meanOfEntries(usage);
        auto x = static_cast<double>(nodes);
        table.add("control_cpu_us_per_s_by_node", "us/s/node", x, usage[0].cpu * microseconds);
        table.add("control_memory_by_node", "bytes/node", x, usage[0].residentBytes);
        table.add("control_link_bytes_sent_by_node", "bytes/s/node", x, usage[0].linkBytesSent);
        table.add("entry_idle_cpu_us_per_s_by_node", "us/s/node", x, entry.cpu * microseconds);
        table.add("entry_memory_by_node", "bytes/node", x, entry.residentBytes);
        table.add("entry_link_bytes_sent_by_node", "bytes/s/node", x, entry.linkBytesSent);
        table.add("entry_link_bytes_received_by_node", "bytes/s/node", x, entry.linkBytesReceived);
        table.add("change_in_force_s_by_node", "s/node", x, median(times));
    }
    return { table.fit(), {} };
}

namespace {

    void sampleConfiguration(CapacityFleet& fleet, Table& table, const std::string& of, size_t count)
    {
        auto usage = fleet.measure(configurationWindowSeconds);
        auto entry = meanOfEntries(usage);
        auto x = static_cast<double>(count);
        table.add("entry_memory_by_" + of, "bytes/" + of, x, entry.residentBytes);
        table.add("control_memory_by_" + of, "bytes/" + of, x, usage[0].residentBytes);
        table.add("entry_cpu_us_per_s_by_" + of, "us/s/" + of, x, entry.cpu * microseconds);
        table.add("entry_link_bytes_sent_by_" + of, "bytes/s/" + of, x, entry.linkBytesSent);
    }

    nlohmann::ordered_json measureCustomers(CapacityFleet& fleet, Table& table)
    {
        auto begin = fleet.totals();
        size_t next = 1;
        for (size_t count : customerCounts) {
            progress(std::to_string(count) + " customers");
            fleet.addCustomers(next, count + 1);
            next = count + 1;
            fleet.timeToForce();
            sampleConfiguration(fleet, table, "customer", count);
        }
        auto end = fleet.totals();
        auto perChange = [&](size_t process) {
            return (end.usage[process].cpuSeconds - begin.usage[process].cpuSeconds) / static_cast<double>(next) * microseconds;
        };
        return { { "control_cpu_us_per_change", perChange(0) }, { "entry_cpu_us_per_change", perChange(1) } };
    }

    void measureTargets(CapacityFleet& fleet, Table& table)
    {
        size_t next = 0;
        for (size_t count : targetCounts) {
            progress(std::to_string(count) + " targets");
            fleet.addIdleTargets(next, count);
            next = count;
            fleet.timeToForce();
            sampleConfiguration(fleet, table, "target", count);
        }
    }

}

FleetSlopes measureConfiguration(const std::string& programs, const std::string& folder)
{
    // Each part gets processes of its own: memory that one part freed would hide what the next one needs.
    auto withFleet = [&](auto&& measure) {
        CapacityFleet fleet(programs, folder);
        fleet.startControl();
        fleet.growTo(4);
        return measure(fleet);
    };
    Table table;
    auto figures = withFleet([&](CapacityFleet& fleet) { return measureCustomers(fleet, table); });
    withFleet([&](CapacityFleet& fleet) { measureTargets(fleet, table); });
    return { table.fit(), figures };
}

FleetSlopes measureRequests(const std::string& programs, const std::string& folder)
{
    CapacityFleet fleet(programs, folder);
    fleet.startControl();
    fleet.growTo(2);
    fleet.addCustomers(1, 6);
    for (int i = 0; i < 2; ++i)
        fleet.addEngine({ "--slots=256", "--step_time=2ms", "--step_growth=0", "--prefill_tokens_per_second=1000000" });
    fleet.timeToForce();
    Table table;
    auto time = "--time=" + std::to_string(static_cast<int>(loadSeconds)) + "s";
    std::vector<std::string> common { time, "--count=1000000", "--shortest_prompt=20", "--longest_prompt=200" };
    auto with = [&](std::vector<std::string> flags) {
        flags.insert(flags.end(), common.begin(), common.end());
        return flags;
    };
    nlohmann::json streamed { { "stream", 1 } };
    (void)costOf(fleet, with({ "--rate=20", "--max_tokens=5" }), streamed);
    auto quiet = fleet.load(with({ "--rate=50", "--max_tokens=5" }), streamed);
    nlohmann::ordered_json figures;
    const auto& firstToken = quiet.at("latency").at("first_token");
    figures["first_token_ms_p50"] = firstToken.at("p50_s").get<double>() * milliseconds;
    figures["first_token_ms_p95"] = firstToken.at("p95_s").get<double>() * milliseconds;
    for (size_t rate : requestRates) {
        progress(std::to_string(rate) + " requests/s");
        auto cost = costOf(fleet, with({ "--rate=" + std::to_string(rate), "--max_tokens=1" }), streamed);
        table.add("entry_cpu_s_by_request", "s/request", cost.answered, cost.entryCpu);
        table.add("link_bytes_by_request", "bytes/request", cost.answered, cost.linkBytes);
        table.add("control_cpu_s_by_request", "s/request", cost.answered, cost.controlCpu);
        table.add("entry_memory_by_request_rate", "bytes/(request/s)", static_cast<double>(rate), meanEntryMemory(fleet.totals()));
    }
    for (size_t tokens : tokenCounts) {
        progress(std::to_string(tokens) + " tokens a request");
        auto cost = costOf(fleet, with({ "--rate=50", "--max_tokens=" + std::to_string(tokens) }), streamed);
        table.add("entry_cpu_s_by_token", "s/token", cost.answered * static_cast<double>(tokens), cost.entryCpu);
    }
    return { table.fit(), figures };
}

FleetSlopes measureDecisions(const std::string& programs, const std::string& folder)
{
    progress("decisions");
    std::filesystem::create_directories(folder);
    auto log = folder + "/bench.log";
    ChildProcess bench(programs + "/briarhitch-bench", { "--case=scale", "--policy=briarhitch", "--seed=1", "--json" }, log);
    if (bench.waitExit(std::chrono::seconds(120)) != 0)
        throw std::runtime_error("briarhitch-bench failed: " + bench.log());
    auto measured = nlohmann::json::parse(bench.log());
    nlohmann::ordered_json figures;
    for (const auto& point : measured.at("points")) {
        auto name = "decision_ns_" + std::to_string(point.at("targets").get<int>()) + "_targets_" + std::to_string(point.at("customers").get<int>()) + "_customers";
        figures[name] = point.at("ns_per_decision");
    }
    std::filesystem::remove_all(folder);
    return { {}, figures };
}

FleetSlopes measureRunRecords(const std::string& programs, const std::string& folder)
{
    CapacityFleet fleet(programs, folder);
    fleet.startControl();
    fleet.growTo(2);
    fleet.addCustomers(1, 6);
    fleet.addService();
    fleet.timeToForce();
    Table table;
    auto time = "--time=" + std::to_string(static_cast<int>(loadSeconds)) + "s";
    nlohmann::json charges { { "charge", 1 } };
    (void)costOf(fleet, { "--rate=20", "--time=2s", "--count=1000000" }, charges);
    double total = 0;
    for (size_t rate : chargeRates) {
        progress(std::to_string(rate) + " charges/s");
        double bytesBefore = fleet.dataBytes();
        auto cost = costOf(fleet, { "--rate=" + std::to_string(rate), time, "--count=1000000" }, charges);
        total += cost.answered;
        table.add("control_cpu_s_by_run_record", "s/record", cost.answered, cost.controlCpu);
        table.add("log_bytes_by_run_record", "bytes/record", cost.answered, fleet.dataBytes() - bytesBefore);
        table.add("control_memory_by_run_record", "bytes/record", total, fleet.totals().usage[0].residentBytes);
        table.add("link_bytes_by_run_record", "bytes/record", cost.answered, cost.linkBytes);
    }
    return { table.fit(), {} };
}

}
