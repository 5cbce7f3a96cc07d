#include "load/LoadTally.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace briarhitch {

namespace {

    constexpr std::array<std::string_view, 5> verdictNames { "right", "wrong", "refused", "broken", "unreachable" };

    double quantile(const std::vector<double>& sorted, double part)
    {
        return sorted[static_cast<size_t>(part * static_cast<double>(sorted.size() - 1))];
    }

    nlohmann::json summarize(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        return { { "count", values.size() }, { "p50_s", quantile(values, 0.5) }, { "p95_s", quantile(values, 0.95) },
            { "p99_s", quantile(values, 0.99) }, { "max_s", values.back() } };
    }

    double ratio(uint64_t part, uint64_t whole)
    {
        return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
    }

}

LoadTally::LoadTally(const LoadPlan& plan)
    : plan_(plan)
{
    if (!plan.journalPath.empty())
        journal_.open(plan.journalPath);
}

bool LoadTally::isInTime(const LoadRequest& request, const LoadOutcome& outcome) const
{
    // The deadline of model work is that of its first token, which only a stream shows.
    return (request.kind == LoadKind::Stream ? outcome.firstToken : outcome.total) <= plan_.deadline;
}

void LoadTally::add(const LoadRequest& request, const std::vector<LoadOutcome>& sendings)
{
    const auto& outcome = sendings.back();
    const auto& customer = plan_.customers[request.customer];
    auto tier = request.kind == LoadKind::Tag ? Tier(Tier::count - 1) : customer.tier;
    bool isGood = outcome.verdict == LoadVerdict::Right && isInTime(request, outcome);
    for (auto* count : { &tiers_[tier.value()], &customers_[customer.name] }) {
        ++count->offered;
        count->good += isGood ? 1 : 0;
    }
    ++offered_;
    resent_ += sendings.size() - 1;
    if (outcome.verdict == LoadVerdict::Refused)
        ++refused_[outcome.errorKind][outcome.ran];
    if (outcome.verdict == LoadVerdict::Broken)
        ++broken_;
    if (outcome.verdict == LoadVerdict::Unreachable)
        ++unreachable_;
    wrong_ += std::count_if(sendings.begin(), sendings.end(), [](const LoadOutcome& sending) { return sending.verdict == LoadVerdict::Wrong; });
    if (outcome.verdict == LoadVerdict::Right) {
        ++answered_;
        std::string kind(toString(request.kind));
        latencies_[kind].push_back(toSeconds(outcome.total));
        if (request.kind == LoadKind::Stream)
            latencies_["first_token"].push_back(toSeconds(outcome.firstToken));
    }
    writeJournal(request, sendings);
}

void LoadTally::writeJournal(const LoadRequest& request, const std::vector<LoadOutcome>& sendings)
{
    if (!journal_.is_open())
        return;
    auto list = nlohmann::json::array();
    for (const auto& sending : sendings)
        list.push_back({ { "verdict", verdictNames[static_cast<size_t>(sending.verdict)] }, { "kind", sending.errorKind }, { "ran", sending.ran } });
    nlohmann::json line = { { "kind", toString(request.kind) }, { "name", ledgerName(request) }, { "sendings", list } };
    journal_ << line.dump() << "\n";
}

std::string LoadTally::toJson(Duration elapsed) const
{
    nlohmann::json json = { { "seed", plan_.seed }, { "seconds", toSeconds(elapsed) }, { "offered", offered_ }, { "answered", answered_ },
        { "wrong", wrong_ }, { "broken", broken_ }, { "unreachable", unreachable_ }, { "resent", resent_ }, { "skipped", skipped_ }, { "refused", refused_ } };
    for (size_t tier = 0; tier < tiers_.size(); ++tier) {
        const auto& count = tiers_[tier];
        if (count.offered > 0)
            json["goodput_by_tier"][std::to_string(tier)] = { { "offered", count.offered }, { "goodput", ratio(count.good, count.offered) } };
    }
    for (const auto& [name, count] : customers_)
        json["goodput_by_customer"][name] = { { "offered", count.offered }, { "goodput", ratio(count.good, count.offered) } };
    for (const auto& [kind, values] : latencies_)
        json["latency"][kind] = summarize(values);
    return json.dump(2);
}

}
