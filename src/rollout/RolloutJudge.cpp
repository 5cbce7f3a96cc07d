#include "rollout/RolloutJudge.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <boost/math/special_functions/beta.hpp>
#include <cmath>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    /** Recent periods that are compared besides the whole time; short ones find a fault that begins late before it is exposed further. */
    constexpr std::array<Duration, 3> recentPeriods { 1s, 3s, 8s };
    /** Reports of several pools that arrive closer together are one sample. */
    constexpr Duration minSampleInterval = 200ms;
    constexpr Duration historyLength = 10s;
    constexpr Duration ratePeriod = 2s;
    constexpr Duration burstPeriod = 500ms;

    /** A bad fraction up to this one, or up to twice that of the other versions, is not a clear fault. */
    constexpr double toleratedBadFraction = 0.02;
    constexpr double toleratedBadRatio = 2;
    /** Chance of a false alarm of one comparison; some hundred are made in a rollout, most of them on the same answers. */
    constexpr double clearChance = 1e-4;
    constexpr uint64_t minClearBad = 3;
    /** A target that crashes fails all its requests at once, which says little of its version. */
    constexpr uint64_t minBadSamples = 3;
    /** The rollback is due within a bound after the 50th bad answer, so from this one on less evidence is enough. */
    constexpr uint64_t manyBad = 40;
    constexpr double manyBadChance = 0.01;
    /** Evidence that holds back the next step without ending the rollout. */
    constexpr uint64_t minDoubtfulBad = 2;
    constexpr double doubtfulChance = 0.02;
    constexpr double doubtfulBadFraction = 0.01;
    constexpr double doubtfulBadRatio = 1.25;
    constexpr double manyBadMargin = 0.005;
    /** Prior of the other versions' bad fraction: half a bad answer among ten. */
    constexpr double priorBad = 0.5;
    constexpr double priorAnswers = 10;
    /** Answers of other versions in a period below which their answers of the whole time are compared. */
    constexpr uint64_t minComparedAnswers = 30;

    /** Mean log latency: 1.4 times slower is a fault, as half of the answers being twice as slow gives that mean; 1.28 is doubtful. */
    constexpr double clearSlowdown = 0.336;
    constexpr double clearDeviations = 5;
    constexpr double doubtfulSlowdown = 0.25;
    constexpr double doubtfulDeviations = 3;
    constexpr uint64_t minLatencySamples = 8;
    /** Prior of the deviation of a log latency, with the weight of this many samples. */
    constexpr double priorDeviation = 0.8;
    constexpr double priorWeight = 8;

    constexpr uint64_t minAnswers = 12;
    /** A route needs answers of the target version if the other versions have this many, and this share of all. */
    constexpr uint64_t minRouteAnswers = 50;
    constexpr double minRouteShare = 0.05;
    constexpr uint64_t minTargetRouteAnswers = 2;

    /** Chance of at least `bad` bad answers among `answered` if each is bad with the given probability. */
    double tailChance(uint64_t bad, uint64_t answered, double probability)
    {
        if (bad == 0 || probability >= 1)
            return 1;
        return boost::math::ibeta(static_cast<double>(bad), static_cast<double>(answered - bad + 1), probability);
    }

    double badFractionOf(const RolloutCounts& counts)
    {
        return (static_cast<double>(counts.bad) + priorBad) / (static_cast<double>(counts.answered) + priorAnswers);
    }

    double meanOf(const RolloutCounts& counts)
    {
        return counts.logLatencySum / static_cast<double>(counts.samples);
    }

    RolloutSides sidesOf(const RolloutTotals& totals, WorkKindId route)
    {
        auto it = totals.find(route);
        return it == totals.end() ? RolloutSides {} : it->second;
    }

    std::string describe(std::string_view scope, const RolloutCounts& target, const RolloutCounts& others)
    {
        return absl::StrFormat("%s: %d of %d answers of the target version are bad, %d of %d of the others", scope, target.bad, target.answered, others.bad, others.answered);
    }

    std::string nameOf(WorkKindId route)
    {
        return "route " + std::to_string(route.value());
    }

    RolloutJudgement compareFailures(const std::string& scope, const RolloutCounts& target, const RolloutCounts& others, uint64_t badSamples)
    {
        // The counters of a report may be taken between a request's two increments.
        if (target.bad > target.answered || target.bad < minDoubtfulBad)
            return {};
        double othersFraction = badFractionOf(others);
        bool isClear = target.bad >= minClearBad && badSamples >= minBadSamples
            && tailChance(target.bad, target.answered, std::max(toleratedBadFraction, toleratedBadRatio * othersFraction)) < clearChance;
        bool isMany = target.bad >= manyBad
            && tailChance(target.bad, target.answered, doubtfulBadRatio * othersFraction + manyBadMargin) < manyBadChance;
        if (isClear || isMany)
            return { RolloutVerdict::Bad, describe(scope, target, others) };
        if (tailChance(target.bad, target.answered, std::max(doubtfulBadFraction, doubtfulBadRatio * othersFraction)) < doubtfulChance)
            return { RolloutVerdict::Undecided, describe(scope, target, others) };
        return {};
    }

    /** Difference of mean log latencies, weighted over routes. */
    struct Slowdown {
        double sum { 0 };
        double weight { 0 };

        void add(double difference, double samples, double comparedSamples)
        {
            double added = samples * comparedSamples / (samples + comparedSamples);
            sum += added * difference;
            weight += added;
        }
    };

    RolloutJudgement rateSlowdown(const std::string& scope, const Slowdown& slowdown, double deviation, uint64_t samples)
    {
        if (slowdown.weight <= 0 || samples < minLatencySamples)
            return {};
        double difference = slowdown.sum / slowdown.weight;
        double deviations = difference * std::sqrt(slowdown.weight) / deviation;
        auto reason = absl::StrFormat("%s: the target version is %.2f times as slow as the others, %.1f standard errors from equal, in %d answers", scope,
            std::exp(difference), deviations, samples);
        if (difference >= clearSlowdown && deviations >= clearDeviations)
            return { RolloutVerdict::Bad, reason };
        if (difference >= doubtfulSlowdown && deviations >= doubtfulDeviations)
            return { RolloutVerdict::Undecided, reason };
        return {};
    }

    /** Keeps the worse of two judgements; an empty reason means that nothing was found. */
    void keepWorse(RolloutJudgement& worst, RolloutJudgement found)
    {
        bool isWorse = found.verdict == RolloutVerdict::Bad ? worst.verdict != RolloutVerdict::Bad : worst.reason.empty();
        if (!found.reason.empty() && isWorse)
            worst = std::move(found);
    }

}

void RolloutJudge::add(Instant now, const RolloutTotals& totals)
{
    bool isUpdate = !history_.empty() && now - history_.back().at < minSampleInterval;
    if (isUpdate)
        history_.pop_back();
    Sample before = history_.empty() ? Sample {} : history_.back();
    if (!isUpdate)
        learnDeviation(before.totals, totals);
    bool hasNewBad = sumOf(totals).target.bad > sumOf(before.totals).target.bad;
    last_ = { isUpdate ? last_.at : now, totals, before.badSamples + (hasNewBad ? 1 : 0) };
    history_.push_back(last_);
    while (history_.size() > 2 && now - history_[1].at >= historyLength)
        history_.pop_front();
}

void RolloutJudge::learnDeviation(const RolloutTotals& before, const RolloutTotals& after)
{
    for (const auto& [route, sides] : after) {
        auto earlier = sidesOf(before, route).others;
        auto added = sides.others;
        added -= earlier;
        if (earlier.samples < minLatencySamples || added.samples == 0)
            continue;
        double difference = meanOf(added) - meanOf(earlier);
        double weight = static_cast<double>(added.samples * earlier.samples) / static_cast<double>(added.samples + earlier.samples);
        deviationSum_ += weight * difference * difference;
        ++deviationCount_;
    }
}

double RolloutJudge::deviation() const
{
    return std::sqrt((priorWeight * priorDeviation * priorDeviation + deviationSum_) / (priorWeight + static_cast<double>(deviationCount_)));
}

const RolloutJudge::Sample& RolloutJudge::sampleBefore(Instant at) const
{
    auto it = std::find_if(history_.rbegin(), history_.rend(), [at](const Sample& sample) { return sample.at <= at; });
    return it == history_.rend() ? history_.front() : *it;
}

RolloutJudge::Period RolloutJudge::periodSince(const Sample& begin) const
{
    Period period { last_.totals, last_.badSamples - begin.badSamples };
    for (auto& [route, sides] : period.counts)
        sides -= sidesOf(begin.totals, route);
    return period;
}

RolloutJudgement RolloutJudge::judgeFailures(const Period& period) const
{
    RolloutJudgement worst;
    auto compare = [&](const std::string& scope, const RolloutSides& counts, const RolloutSides& whole) {
        const auto& others = counts.others.answered < minComparedAnswers ? whole.others : counts.others;
        keepWorse(worst, compareFailures(scope, counts.target, others, period.badSamples));
    };
    compare("all routes", sumOf(period.counts), sumOf(last_.totals));
    for (const auto& [route, sides] : period.counts)
        compare(nameOf(route), sides, sidesOf(last_.totals, route));
    return worst;
}

RolloutJudgement RolloutJudge::judgeLatency(const Period& period) const
{
    RolloutJudgement worst;
    Slowdown all;
    uint64_t allSamples = 0;
    for (const auto& [route, sides] : period.counts) {
        auto whole = sidesOf(last_.totals, route).others;
        const auto& others = sides.others.samples < minLatencySamples ? whole : sides.others;
        if (sides.target.samples == 0 || others.samples == 0)
            continue;
        double difference = meanOf(sides.target) - meanOf(others);
        Slowdown slowdown;
        slowdown.add(difference, static_cast<double>(sides.target.samples), static_cast<double>(others.samples));
        all.add(difference, static_cast<double>(sides.target.samples), static_cast<double>(others.samples));
        allSamples += sides.target.samples;
        keepWorse(worst, rateSlowdown(nameOf(route), slowdown, deviation(), sides.target.samples));
    }
    keepWorse(worst, rateSlowdown("all routes", all, deviation(), allSamples));
    return worst;
}

RolloutJudgement RolloutJudge::judgeCoverage() const
{
    auto all = sumOf(last_.totals);
    if (all.target.answered < minAnswers)
        return { RolloutVerdict::Undecided, absl::StrFormat("%d answers of the target version, of %d needed", all.target.answered, minAnswers) };
    for (const auto& [route, sides] : last_.totals) {
        bool isUsed = sides.others.answered >= minRouteAnswers && static_cast<double>(sides.others.answered) >= minRouteShare * static_cast<double>(all.others.answered);
        if (isUsed && sides.target.answered < minTargetRouteAnswers)
            return { RolloutVerdict::Undecided, nameOf(route) + ": no answers of the target version" };
    }
    return { RolloutVerdict::Good, describe("all routes", all.target, all.others) };
}

RolloutJudgement RolloutJudge::judge() const
{
    if (history_.empty())
        return { RolloutVerdict::Undecided, "no reports" };
    RolloutJudgement worst;
    auto consider = [&](const Period& period) {
        keepWorse(worst, judgeFailures(period));
        keepWorse(worst, judgeLatency(period));
    };
    consider({ last_.totals, last_.badSamples });
    for (auto length : recentPeriods)
        consider(periodSince(sampleBefore(last_.at - length)));
    return worst.reason.empty() ? judgeCoverage() : worst;
}

double RolloutJudge::grantRateOver(Duration period) const
{
    if (history_.size() < 2)
        return 0;
    const auto& begin = sampleBefore(last_.at - period);
    auto seconds = toSeconds(last_.at - begin.at);
    if (seconds <= 0)
        return 0;
    auto now = sumOf(last_.totals);
    auto then = sumOf(begin.totals);
    return static_cast<double>(now.target.granted + now.others.granted - then.target.granted - then.others.granted) / seconds;
}

double RolloutJudge::grantRate() const
{
    return grantRateOver(ratePeriod);
}

double RolloutJudge::peakGrantRate() const
{
    return std::max(grantRateOver(ratePeriod), grantRateOver(burstPeriod));
}

}
