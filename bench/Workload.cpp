#include "Workload.h"

#include "briarhitch/core/Digest.h"
#include "briarhitch/core/Random.h"

#include <algorithm>
#include <cmath>

namespace briarhitch::bench {

namespace {

    constexpr EngineSpec oldest { "g1", 8, 6000, 35, 16, 60000 };
    constexpr EngineSpec middle { "g2", 16, 12000, 50, 24, 140000 };
    constexpr EngineSpec newest { "g3", 24, 24000, 70, 32, 300000 };
    // Together several times what one engine can cache.
    constexpr int commonPrefixes = 200;
    constexpr int64_t commonPrefixTokens = 4096;
    constexpr double leaveMeanSeconds = 1.5;
    // Bursts: a fifth of the time at three times the rate, the rest at half of it, so the mean stays.
    constexpr double burstPeriod = 10;
    constexpr double burstPart = 0.2;
    constexpr double burstRate = 3;
    constexpr double quietRate = 0.5;
    constexpr double calibrationSeconds = 60;

    std::vector<CaseSpec> makeCases()
    {
        std::vector<CaseSpec> cases;
        auto add = [&](const char* name, double load) -> CaseSpec& {
            cases.push_back({});
            cases.back().name = name;
            cases.back().load = load;
            return cases.back();
        };
        add("steady", 0.7);
        add("overload-1.5", 1.5);
        add("overload-3", 3);
        auto& least = add("flood-least", 0.6);
        least.floodKind = "tag";
        least.floodFactor = 20;
        auto& urgent = add("flood-urgent", 0.6);
        urgent.floodKind = "question";
        urgent.floodFactor = 20;
        // The same with so much of it that the fleet cannot serve the most urgent tier alone.
        auto& over = add("flood-urgent-over", 1.5);
        over.floodKind = "question";
        over.floodFactor = 20;
        add("large-customers", 0.6).largeFactor = 10;
        auto& oneTier = add("large-customers-one-tier", 0.6);
        oneTier.largeFactor = 10;
        oneTier.hasOneTier = true;
        add("slow-engine", 0.85).slowEngines = 3;
        add("wrong-slots", 1.5).slotFactor = 4;
        add("engine-lost", 0.7).lostEngines = 2;
        add("prefix-heavy", 0.75).commonPrefixPart = 0.8;
        add("cancel-heavy", 0.9).leavingPart = 0.3;
        add("long-and-short", 0.9).hasWideLengths = true;
        add("retry-storm", 1.8).comebacks = 3;
        auto& mixed = add("mixed", 1.1);
        mixed.largeFactor = 2;
        mixed.slowEngines = 1;
        mixed.lostEngines = 1;
        mixed.commonPrefixPart = 0.3;
        mixed.leavingPart = 0.05;
        mixed.hasWideLengths = true;
        mixed.comebacks = 1;
        mixed.comesInBursts = true;
        return cases;
    }

    int64_t logUniform(Random& random, int64_t least, int64_t most)
    {
        return static_cast<int64_t>(std::lround(static_cast<double>(least) * std::pow(static_cast<double>(most) / static_cast<double>(least), random.unit())));
    }

    uint32_t blockHash(uint64_t owner, uint64_t block)
    {
        const uint64_t parts[] = { owner, block };
        return static_cast<uint32_t>(stableHash({ reinterpret_cast<const char*>(parts), sizeof(parts) }));
    }

    void drawPrompt(Random& random, const CaseSpec& spec, const KindSpec& kind, uint64_t owner, Arrival& arrival)
    {
        arrival.promptTokens = logUniform(random, kind.leastPrompt, kind.mostPrompt);
        const bool isCommon = random.chance(spec.commonPrefixPart);
        const uint64_t common = random.below(commonPrefixes);
        if (isCommon)
            arrival.promptTokens += commonPrefixTokens;
        for (int64_t block = 0; (block + 1) * FakeEngine::blockTokens <= arrival.promptTokens; ++block) {
            const bool inCommon = isCommon && (block + 1) * FakeEngine::blockTokens <= commonPrefixTokens;
            arrival.prefix.push_back(blockHash(inCommon ? common : owner, static_cast<uint64_t>(block)));
        }
    }

    /** Maps time at the mean rate to time with bursts. */
    double withBursts(double time, double phase)
    {
        const double shifted = time + phase;
        const double period = std::floor(shifted / burstPeriod);
        const double within = shifted - period * burstPeriod;
        const double inBurst = burstRate * burstPart * burstPeriod;
        const double warped = within < inBurst ? within / burstRate : burstPart * burstPeriod + (within - inBurst) / quietRate;
        return period * burstPeriod + warped - phase;
    }

}

std::vector<std::string> caseNames()
{
    std::vector<std::string> names;
    for (const auto& spec : makeCases())
        names.push_back(spec.name);
    return names;
}

CaseSpec caseByName(const std::string& name)
{
    for (const auto& spec : makeCases()) {
        if (spec.name == name)
            return spec;
    }
    return {};
}

std::vector<KindSpec> kindsOf(const std::string& deployment, const CaseSpec& spec)
{
    std::vector<KindSpec> kinds;
    if (deployment == "lockstone") {
        kinds = {
            { "question", 0, 0.20, 40, 400, 10, 80, 4 },
            { "lookup", 0, 0.10, 80, 300, 10, 40, 4 },
            { "catalogue", 1, 0.20, 400, 4000, 150, 1000, 12 },
            { "manifest", 2, 0.15, 1000, 8000, 40, 300, 20 },
            { "tag", 3, 0.25, 500, 1200, 8, 40, 30 },
            { "archive", 3, 0.10, 400, 4000, 20, 200, 30 },
        };
    } else {
        kinds = {
            { "question", 0, 0.25, 40, 400, 10, 80, 4 },
            { "confirmation", 0, 0.10, 60, 250, 10, 40, 4 },
            { "plan", 1, 0.20, 800, 6000, 200, 1200, 12 },
            { "list", 2, 0.10, 500, 5000, 40, 400, 20 },
            { "tag", 3, 0.30, 500, 1200, 8, 40, 30 },
            { "digest", 3, 0.05, 400, 4000, 20, 200, 30 },
        };
    }
    if (spec.hasWideLengths) {
        for (auto& kind : kinds) {
            const double prompt = std::sqrt(static_cast<double>(kind.leastPrompt) * static_cast<double>(kind.mostPrompt));
            const double output = std::sqrt(static_cast<double>(kind.leastOutput) * static_cast<double>(kind.mostOutput));
            kind.leastPrompt = std::max<int64_t>(1, std::lround(prompt / 10));
            kind.mostPrompt = std::lround(prompt * 10);
            kind.leastOutput = std::max<int64_t>(1, std::lround(output / 10));
            kind.mostOutput = std::lround(output * 10);
        }
    }
    for (auto& kind : kinds)
        kind.tier = spec.hasOneTier ? 1 : kind.tier;
    return kinds;
}

std::vector<EngineSpec> fleetOf(const std::string& deployment)
{
    std::vector<EngineSpec> fleet;
    size_t engines = 0;
    if (deployment == "lockstone")
        engines = 18;
    else if (deployment == "pincel")
        engines = 12;
    for (size_t i = 0; i < engines; ++i)
        fleet.push_back(i % 3 == 0 ? oldest : (i % 3 == 1 ? middle : newest));
    return fleet;
}

double measuredCapacity(const std::vector<EngineSpec>& fleet, const std::vector<KindSpec>& kinds)
{
    double all = 0;
    for (const auto& kind : kinds)
        all += kind.part;
    double completed = 0;
    Random random(1);
    for (const auto& spec : fleet) {
        FakeEngine engine(spec);
        std::vector<EngineEvent> events;
        uint64_t id = 0;
        for (double time = 0; time < calibrationSeconds; time += 0.01) {
            while (engine.waiting() < spec.slots) {
                double pick = random.unit() * all;
                size_t kind = 0;
                while (kind + 1 < kinds.size() && pick >= kinds[kind].part)
                    pick -= kinds[kind++].part;
                const auto& drawn = kinds[kind];
                engine.submit({ { RequestId(++id), 1 }, logUniform(random, drawn.leastPrompt, drawn.mostPrompt), logUniform(random, drawn.leastOutput, drawn.mostOutput), {} });
            }
            events.clear();
            engine.step(0.01, events);
            completed += static_cast<double>(std::count_if(events.begin(), events.end(), [](const EngineEvent& event) { return event.type == EngineEvent::Type::Done; }));
        }
    }
    return completed / calibrationSeconds;
}

std::vector<Arrival> makeArrivals(const CaseSpec& spec, const std::vector<KindSpec>& kinds, double capacity, const Leave& leave, uint64_t seed)
{
    std::vector<Arrival> arrivals;
    for (uint32_t customer = 1; customer <= customerCount; ++customer) {
        const bool isLarge = customer <= largeCustomers;
        if (isLarge && leave.largeCustomers)
            continue;
        for (size_t kind = 0; kind < kinds.size(); ++kind) {
            // A stream of its own for each customer and kind: leaving one out does not change the others.
            Random random(stableHash(std::to_string(customer) + "/" + kinds[kind].name, seed));
            double rate = spec.load * capacity * kinds[kind].part / customerCount;
            if (kinds[kind].name == spec.floodKind && !leave.flood)
                rate *= spec.floodFactor;
            if (isLarge)
                rate *= spec.largeFactor;
            const double phase = random.unit() * burstPeriod;
            uint64_t count = 0;
            for (double time = -std::log(1 - random.unit()) / rate; time < runSeconds; time -= std::log(1 - random.unit()) / rate) {
                Arrival arrival;
                arrival.time = std::max(0.0, spec.comesInBursts ? withBursts(time, phase) : time);
                arrival.customer = customer;
                arrival.kind = kind;
                const uint64_t owner = stableHash(std::to_string(++count), (static_cast<uint64_t>(customer) << 32) + kind + 1000);
                drawPrompt(random, spec, kinds[kind], owner, arrival);
                arrival.outputTokens = logUniform(random, kinds[kind].leastOutput, kinds[kind].mostOutput);
                if (random.chance(spec.leavingPart))
                    arrival.leavesAfter = -std::log(1 - random.unit()) * leaveMeanSeconds;
                arrivals.push_back(std::move(arrival));
            }
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival& left, const Arrival& right) {
        return std::tie(left.time, left.customer, left.kind, left.promptTokens) < std::tie(right.time, right.customer, right.kind, right.promptTokens);
    });
    return arrivals;
}

}
