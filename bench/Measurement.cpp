#include "Measurement.h"

#include <algorithm>
#include <cmath>

namespace briarhitch::bench {

namespace {

    using Json = nlohmann::ordered_json;

    // The baselines run once in each entry, which see nothing of each other.
    constexpr size_t baselineEntries = 6;
    constexpr double precision = 1e6;

    /** Few digits keep the files readable; the same value always gives the same text. */
    Json rounded(double value)
    {
        return std::round(value * precision) / precision;
    }

    Json ratio(double part, double whole)
    {
        return whole > 0 ? rounded(part / whole) : Json(nullptr);
    }

    bool isCounted(const Arrival& arrival)
    {
        return arrival.time >= countedFrom && arrival.time < countedUntil;
    }

    /** Time of a full engine that a request takes, prefix cache left aside. */
    double engineSeconds(const EngineSpec& engine, const Arrival& arrival)
    {
        const double decodeRate = engine.slots * engine.decodeTokensPerSecond / (1 + engine.slots / engine.halfSpeedBatch);
        return static_cast<double>(arrival.promptTokens) / engine.prefillTokensPerSecond + static_cast<double>(arrival.outputTokens) / decodeRate;
    }

    struct Run {
        std::vector<Arrival> arrivals;
        SimulationResult result;
    };

    struct Counts {
        double offered { 0 };
        double good { 0 };
        double offeredWork { 0 };
        double goodWork { 0 };
    };

    class Comparison {
    public:
        explicit Comparison(const MeasurementSettings& settings)
            : settings_(settings)
            , spec_(caseByName(settings.caseName))
            , kinds_(kindsOf(settings.deployment, spec_))
            , fleet_(fleetOf(settings.deployment))
            , capacity_(measuredCapacity(fleet_, kinds_))
        {
            spec_.comesInBursts = spec_.comesInBursts || settings.bursts;
        }

        Json measure();

    private:
        Run run(const Leave& leave) const;
        Counts count(const Run& run, const std::function<bool(const Arrival&)>& selects) const;
        Json goodputByTier(const Run& run) const;
        Json goodputByKind(const Run& run) const;
        Json firstTokens(const Run& run) const;
        Json otherKept(const Run& run, const Run& usual, bool onlyUrgent) const;
        Json smallAndLarge(const Run& run) const;
        double topTierLoad() const;

        MeasurementSettings settings_;
        CaseSpec spec_;
        std::vector<KindSpec> kinds_;
        std::vector<EngineSpec> fleet_;
        double capacity_;
    };

    Run Comparison::run(const Leave& leave) const
    {
        SimulationSettings settings;
        settings.policy = settings_.policy;
        settings.disabledParts = settings_.disabledParts;
        settings.floors = settings_.floors;
        settings.entries = settings_.policy == "briarhitch" ? 1 : baselineEntries;
        settings.maxQueued = settings_.maxQueued;
        settings.seed = settings_.seed;
        Run run;
        run.arrivals = makeArrivals(spec_, kinds_, capacity_, leave, settings_.seed);
        run.result = Simulation(spec_, kinds_, fleet_, run.arrivals, settings).run();
        return run;
    }

    Counts Comparison::count(const Run& run, const std::function<bool(const Arrival&)>& selects) const
    {
        Counts counts;
        for (size_t i = 0; i < run.arrivals.size(); ++i) {
            const auto& outcome = run.result.outcomes[i];
            // A caller that left on its own before its deadline asked for nothing that could still be given.
            if (!isCounted(run.arrivals[i]) || !selects(run.arrivals[i]) || (outcome.left && !outcome.isGood))
                continue;
            counts.offered += 1;
            counts.good += outcome.isGood ? 1 : 0;
            const double work = engineSeconds(fleet_[0], run.arrivals[i]);
            counts.offeredWork += work;
            counts.goodWork += outcome.isGood ? work : 0;
        }
        return counts;
    }

    Json Comparison::goodputByTier(const Run& run) const
    {
        Json goodput;
        for (uint8_t tier = 0; tier < Tier::count; ++tier) {
            const auto counts = count(run, [&](const Arrival& arrival) { return kinds_[arrival.kind].tier == tier; });
            goodput[std::to_string(tier)] = ratio(counts.good, counts.offered);
        }
        const auto all = count(run, [](const Arrival&) { return true; });
        goodput["all"] = ratio(all.good, all.offered);
        goodput["all_by_work"] = ratio(all.goodWork, all.offeredWork);
        return goodput;
    }

    Json Comparison::goodputByKind(const Run& run) const
    {
        Json goodput;
        for (size_t kind = 0; kind < kinds_.size(); ++kind) {
            const auto counts = count(run, [&](const Arrival& arrival) { return arrival.kind == kind; });
            goodput[kinds_[kind].name] = ratio(counts.good, counts.offered);
        }
        return goodput;
    }

    Json Comparison::firstTokens(const Run& run) const
    {
        Json all;
        for (uint8_t tier = 0; tier < Tier::count; ++tier) {
            std::vector<double> times;
            for (size_t i = 0; i < run.arrivals.size(); ++i) {
                if (isCounted(run.arrivals[i]) && kinds_[run.arrivals[i].kind].tier == tier && run.result.outcomes[i].firstToken >= 0)
                    times.push_back(run.result.outcomes[i].firstToken);
            }
            std::sort(times.begin(), times.end());
            Json ofTier;
            for (const auto& [name, part] : { std::pair { "p50", 0.5 }, std::pair { "p95", 0.95 }, std::pair { "p99", 0.99 } })
                ofTier[name] = times.empty() ? Json(nullptr) : rounded(times[static_cast<size_t>(part * static_cast<double>(times.size() - 1))]);
            all[std::to_string(tier)] = ofTier;
        }
        return all;
    }

    Json Comparison::otherKept(const Run& run, const Run& usual, bool onlyUrgent) const
    {
        uint8_t floodTier = 0;
        for (const auto& kind : kinds_) {
            if (kind.name == spec_.floodKind)
                floodTier = kind.tier;
        }
        auto isOther = [&](const Arrival& arrival) {
            const auto& kind = kinds_[arrival.kind];
            return kind.name != spec_.floodKind && (!onlyUrgent || kind.tier <= floodTier);
        };
        return ratio(count(run, isOther).good, count(usual, isOther).good);
    }

    Json Comparison::smallAndLarge(const Run& run) const
    {
        auto isLarge = [](const Arrival& arrival) { return arrival.customer <= largeCustomers; };
        const auto large = count(run, isLarge);
        const auto small = count(run, [&](const Arrival& arrival) { return !isLarge(arrival); });
        Json json;
        json["small"] = ratio(small.good, small.offered);
        json["large"] = ratio(large.good, large.offered);
        json["small_alone"] = nullptr;
        json["small_kept"] = nullptr;
        if (spec_.largeFactor <= 1)
            return json;
        const auto alone = this->run({ false, true });
        const auto smallAlone = count(alone, [&](const Arrival& arrival) { return !isLarge(arrival); });
        json["small_alone"] = ratio(smallAlone.good, smallAlone.offered);
        json["small_kept"] = ratio(small.good, smallAlone.good);
        for (uint8_t tier = 0; tier < Tier::count; ++tier) {
            auto isSmallOfTier = [&](const Arrival& arrival) { return !isLarge(arrival) && kinds_[arrival.kind].tier == tier; };
            json["small_kept_by_tier"][std::to_string(tier)] = ratio(count(run, isSmallOfTier).good, count(alone, isSmallOfTier).good);
        }
        return json;
    }

    double Comparison::topTierLoad() const
    {
        std::vector<KindSpec> top;
        double offered = 0;
        for (const auto& kind : kinds_) {
            if (kind.tier != 0)
                continue;
            top.push_back(kind);
            const double factor = kind.name == spec_.floodKind ? spec_.floodFactor : 1;
            top.back().part *= factor;
            offered += spec_.load * capacity_ * kind.part * factor;
        }
        if (top.empty())
            return 0;
        const double largeMean = (largeCustomers * spec_.largeFactor + (customerCount - largeCustomers)) / customerCount;
        return offered * largeMean / measuredCapacity(fleet_, top);
    }

    Json Comparison::measure()
    {
        const Run main = run({});
        const auto& result = main.result;
        Json json;
        json["case"] = settings_.caseName;
        json["policy"] = settings_.policy;
        json["deployment"] = settings_.deployment;
        json["arrivals"] = spec_.comesInBursts ? "bursts" : "poisson";
        json["seed"] = settings_.seed;
        json["disabled"] = settings_.disabledParts;
        json["floors"] = settings_.floors;
        json["max_queued"] = settings_.maxQueued;
        json["offered"] = count(main, [](const Arrival&) { return true; }).offered;
        json["capacity_per_s"] = rounded(capacity_);
        json["top_tier_load"] = rounded(topTierLoad());
        json["goodput_by_tier"] = goodputByTier(main);
        json["goodput_by_kind"] = goodputByKind(main);
        json["wasted_prefill"] = ratio(result.wastedPrefillTokens, result.prefillTokens);
        json["wasted_prefill_not_by_leaving"] = ratio(result.wastedPrefillTokens - result.leftPrefillTokens, result.prefillTokens);
        json["other_kept"] = nullptr;
        json["other_kept_all_tiers"] = nullptr;
        if (!spec_.floodKind.empty()) {
            const Run usual = run({ true, false });
            json["other_kept"] = otherKept(main, usual, true);
            json["other_kept_all_tiers"] = otherKept(main, usual, false);
        }
        json["small_vs_large"] = smallAndLarge(main);
        const auto firstToken = firstTokens(main);
        for (const char* name : { "p50", "p95", "p99" }) {
            for (uint8_t tier = 0; tier < Tier::count; ++tier)
                json[std::string("ttft_") + name][std::to_string(tier)] = firstToken[std::to_string(tier)][name];
        }
        json["refused"] = Json::object();
        for (const auto& [kind, number] : result.refused)
            json["refused"][kind] = number;
        json["slot_use"] = rounded(result.slotUse);
        json["late_refusals"] = result.lateRefusals;
        json["tier_rule_violations"] = result.tierRuleViolations;
        json["deadline_refusals_above_queued"] = result.deadlineRefusalsAbove;
        json["wrong_targets"] = result.wrongTargets;
        json["most_queued"] = result.mostQueued;
        json["decisions"] = result.decisions;
        json["ns_per_decision"] = result.decisions ? std::round(result.decisionNs / static_cast<double>(result.decisions)) : 0;
        return json;
    }

    double median(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        const size_t middle = values.size() / 2;
        return values.size() % 2 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    }

}

Json measure(const MeasurementSettings& settings)
{
    return Comparison(settings).measure();
}

Json medianOf(const std::vector<Json>& measurements)
{
    const Json& first = measurements.front();
    Json result;
    for (const auto& [name, value] : first.items()) {
        std::vector<Json> parts;
        std::vector<double> numbers;
        for (const auto& measurement : measurements) {
            // Refusal kinds that did not occur with a seed count as zero.
            const Json part = measurement.contains(name) ? measurement[name] : Json(0);
            parts.push_back(part);
            if (part.is_number())
                numbers.push_back(part.get<double>());
        }
        if (value.is_object() && !value.empty())
            result[name] = medianOf(parts);
        else if (value.is_number() && !numbers.empty())
            result[name] = rounded(median(numbers));
        else
            result[name] = value;
    }
    return result;
}

}
