#include "Simulation.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace briarhitch::bench {

namespace {

    constexpr double stepSeconds = 0.01;
    constexpr int stepsByTick = 5;
    // Long enough for the last counted requests to finish.
    constexpr double drainSeconds = 30;
    constexpr double reportPeriod = 1;
    constexpr double leastReportLag = 1;
    constexpr double mostReportLag = 5;
    constexpr double slowSpeed = 0.25;
    // A connection that is refused shows after one round trip.
    constexpr double connectFailureSeconds = 0.01;
    // Callers that got no answer in time come back after this time.
    constexpr double comebackAfterTimeout = 1;
    constexpr uint8_t mostAttempts = 3;
    constexpr double lateRefusalPart = 0.5;
    // A caller's limit of the answer, as a multiple of the longest answer of the kind.
    constexpr int64_t outputLimitFactor = 2;

    WorkKindId kindId(size_t kind)
    {
        return WorkKindId(static_cast<uint32_t>(kind + 1));
    }

    TargetId targetId(size_t engine)
    {
        return TargetId(static_cast<uint32_t>(engine + 1));
    }

    std::vector<Target> targetsOf(const std::vector<EngineSpec>& fleet, uint32_t slotFactor)
    {
        std::vector<Target> targets;
        for (size_t i = 0; i < fleet.size(); ++i) {
            Target target;
            target.id = targetId(i);
            target.hardware = fleet[i].hardware;
            target.slots = fleet[i].slots * slotFactor;
            targets.push_back(target);
        }
        return targets;
    }

}

Simulation::Simulation(const CaseSpec& spec, const std::vector<KindSpec>& kinds, const std::vector<EngineSpec>& fleet, const std::vector<Arrival>& arrivals, const SimulationSettings& settings)
    : spec_(spec)
    , kinds_(kinds)
    , arrivals_(arrivals)
    , settings_(settings)
    , random_(settings.seed)
    , isLost_(fleet.size(), false)
    , checks_(settings.entries)
{
    for (const auto& engine : fleet)
        engines_.emplace_back(engine);
    PoolSettings pool;
    pool.policy = settings.policy;
    pool.disabledFeatures = settings.disabledParts;
    pool.maxQueued = std::max<size_t>(1, settings.maxQueued / settings.entries);
    for (size_t kind = 0; kind < kinds.size(); ++kind) {
        if (auto floor = settings.floors.find(kinds[kind].name); floor != settings.floors.end())
            pool.floors[kindId(kind)] = floor->second;
    }
    for (size_t entry = 0; entry < settings.entries; ++entry) {
        pool.seed = settings.seed * settings.entries + entry;
        pools_.push_back(std::move(*makePoolScheduler(pool)));
        pools_.back()->setTargets(targetsOf(fleet, spec.slotFactor), now());
    }
    result_.outcomes.resize(arrivals.size());
}

template <class Call>
void Simulation::timed(Call call)
{
    const auto start = std::chrono::steady_clock::now();
    call();
    result_.decisionNs += std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count();
}

void Simulation::at(double time, std::function<void()> action)
{
    timers_.push({ time, ++lastTimer_, std::move(action) });
}

void Simulation::scheduleFaults()
{
    // From the middle of the fleet, so that all generations are hit.
    const size_t first = engines_.size() / 2;
    for (int i = 0; i < spec_.slowEngines; ++i) {
        const size_t engine = first + static_cast<size_t>(i);
        at(faultStart, [this, engine] { engines_[engine].setSpeed(slowSpeed); });
        at(faultEnd, [this, engine] { engines_[engine].setSpeed(1); });
    }
    for (int i = 0; i < spec_.lostEngines; ++i) {
        const size_t engine = first - 1 - static_cast<size_t>(i);
        at(faultStart, [this, engine] { loseEngine(engine); });
        at(faultEnd, [this, engine] { isLost_[engine] = false; });
    }
}

void Simulation::scheduleReports(size_t engine)
{
    LoadReport report;
    report.target = targetId(engine);
    report.running = static_cast<uint32_t>(engines_[engine].running());
    report.waiting = static_cast<uint32_t>(engines_[engine].waiting());
    report.reachable = !isLost_[engine];
    const double lag = leastReportLag + (mostReportLag - leastReportLag) * random_.unit();
    at(time_ + lag, [this, report] {
        for (size_t entry = 0; entry < pools_.size(); ++entry) {
            timed([&] { pools_[entry]->reportLoad(report, now()); });
            carryOut(entry);
        }
    });
    at(time_ + reportPeriod, [this, engine] { scheduleReports(engine); });
}

void Simulation::arrive(size_t arrival, int comebacksLeft)
{
    const uint64_t id = ++lastRequest_;
    Request request;
    request.arrival = arrival;
    request.submittedAt = time_;
    request.comebacksLeft = comebacksLeft;
    request.entry = random_.below(pools_.size());
    const auto& kind = kindOf(request);
    const double leavesAfter = arrivals_[arrival].leavesAfter;
    requests_.emplace(id, std::move(request));
    retries_.recordRequest(CustomerId(arrivals_[arrival].customer), now());
    at(time_ + std::min(kind.deadlineSeconds, leavesAfter), [this, id, isEarly = leavesAfter < kind.deadlineSeconds] { callerLeaves(id, isEarly); });
    submitAttempt(id);
}

void Simulation::submitAttempt(uint64_t id)
{
    const auto& request = requests_.at(id);
    const auto& arrival = arrivals_[request.arrival];
    const auto& kind = kindOf(request);
    PoolRequest asked;
    asked.attempt = { RequestId(id), request.attempt };
    asked.customer = CustomerId(arrival.customer);
    asked.tier = Tier(kind.tier);
    asked.kind = kindId(arrival.kind);
    asked.promptTokens = Tokens(arrival.promptTokens);
    asked.maxOutputTokens = Tokens(kind.mostOutput * outputLimitFactor);
    asked.prefix = arrival.prefix;
    asked.deadline = now() + fromSeconds(request.submittedAt + kind.deadlineSeconds - time_);
    asked.excluded = request.hadIt;
    const size_t entry = request.entry;
    checks_[entry].submitted(asked.attempt, asked.tier);
    timed([&] { pools_[entry]->submit(std::move(asked), now()); });
    carryOut(entry);
}

void Simulation::carryOut(size_t entry)
{
    std::vector<PoolAction> actions;
    timed([&] { actions = pools_[entry]->takeActions(); });
    result_.decisions += actions.size();
    checks_[entry].observe(actions);
    for (const auto& action : actions) {
        if (const auto* grant = std::get_if<PoolGrant>(&action))
            granted(*grant);
        else
            refused(std::get<PoolRefusal>(action));
    }
    const auto stats = pools_[entry]->stats();
    size_t queued = 0;
    for (size_t ofTier : stats.queued)
        queued += ofTier;
    result_.mostQueued = std::max(result_.mostQueued, queued);
}

void Simulation::granted(const PoolGrant& grant)
{
    const uint64_t id = grant.attempt.request.value();
    auto& request = requests_.at(id);
    const size_t engine = grant.target.value() - 1;
    if (std::find(request.hadIt.begin(), request.hadIt.end(), grant.target) != request.hadIt.end())
        ++result_.wrongTargets;
    request.hadIt.push_back(grant.target);
    request.engine = engine;
    request.grantedAt = time_;
    if (isLost_[engine]) {
        at(time_ + connectFailureSeconds, [this, id, attempt = request.attempt] {
            auto it = requests_.find(id);
            if (it != requests_.end() && it->second.attempt == attempt && it->second.engine)
                attemptFailed(id, 0);
        });
        return;
    }
    const auto& arrival = arrivals_[request.arrival];
    engines_[engine].submit({ grant.attempt, arrival.promptTokens, arrival.outputTokens, arrival.prefix });
}

void Simulation::refused(const PoolRefusal& refusal)
{
    const uint64_t id = refusal.attempt.request.value();
    auto node = requests_.extract(id);
    ++result_.refused[std::string(errorInfo(refusal.kind).name)];
    if (time_ - node.mapped().submittedAt > lateRefusalPart * kindOf(node.mapped()).deadlineSeconds)
        ++result_.lateRefusals;
    result_.wastedPrefillTokens += node.mapped().prefillLost;
    comeBack(node.mapped(), toSeconds(refusal.retryAfter));
}

void Simulation::comeBack(const Request& request, double after)
{
    if (request.comebacksLeft > 0)
        at(time_ + after, [this, arrival = request.arrival, left = request.comebacksLeft - 1] { arrive(arrival, left); });
}

void Simulation::callerLeaves(uint64_t id, bool onItsOwn)
{
    auto it = requests_.find(id);
    if (it == requests_.end() || (it->second.hasFirstToken && !onItsOwn))
        return;
    auto request = it->second;
    requests_.erase(it);
    const AttemptId attempt { RequestId(id), request.attempt };
    auto& outcome = result_.outcomes[request.arrival];
    outcome.left = onItsOwn;
    auto& pool = *pools_[request.entry];
    if (request.engine) {
        const double lost = engines_[*request.engine].cancel(attempt) + request.prefillLost;
        if (!request.hasFirstToken) {
            result_.wastedPrefillTokens += lost;
            if (onItsOwn)
                result_.leftPrefillTokens += lost;
        }
        timed([&] { pool.attemptFinished(attempt, AttemptOutcome::Cancelled, Tokens(0), Tokens(0), fromSeconds(time_ - request.grantedAt), now()); });
    } else {
        result_.wastedPrefillTokens += request.prefillLost;
        checks_[request.entry].cancelled(attempt);
        timed([&] { pool.cancel(attempt, now()); });
    }
    carryOut(request.entry);
    if (!onItsOwn)
        comeBack(request, comebackAfterTimeout);
}

void Simulation::attemptFailed(uint64_t id, double prefillLost)
{
    auto& request = requests_.at(id);
    const size_t entry = request.entry;
    const AttemptId attempt { RequestId(id), request.attempt };
    const auto& arrival = arrivals_[request.arrival];
    request.engine.reset();
    request.prefillLost += prefillLost;
    const bool mayRetry = !request.hasFirstToken && request.attempt < mostAttempts && retries_.tryRetry(CustomerId(arrival.customer), now());
    const double grantedAt = request.grantedAt;
    if (!mayRetry) {
        result_.outcomes[request.arrival].isGood = false;
        result_.wastedPrefillTokens += request.prefillLost;
        ++result_.refused["attempt_failed"];
        requests_.erase(id);
    } else {
        ++request.attempt;
    }
    timed([&] { pools_[entry]->attemptFinished(attempt, AttemptOutcome::Failed, Tokens(0), Tokens(0), fromSeconds(time_ - grantedAt), now()); });
    carryOut(entry);
    if (mayRetry)
        submitAttempt(id);
}

void Simulation::loseEngine(size_t engine)
{
    isLost_[engine] = true;
    std::vector<double> computed;
    std::vector<uint64_t> ids;
    for (const auto& [id, request] : requests_) {
        if (request.engine == engine)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    computed.reserve(ids.size());
    for (uint64_t id : ids)
        computed.push_back(engines_[engine].prefilled({ RequestId(id), requests_.at(id).attempt }));
    engines_[engine].loseAll();
    for (size_t i = 0; i < ids.size(); ++i)
        attemptFailed(ids[i], computed[i]);
}

void Simulation::engineEvents()
{
    for (auto& engine : engines_) {
        events_.clear();
        if (isLost_[static_cast<size_t>(&engine - engines_.data())])
            continue;
        engine.step(stepSeconds, events_);
        if (time_ >= countedFrom && time_ < countedUntil)
            slotUse_ += static_cast<double>(engine.running()) / engine.spec().slots;
        for (const auto& event : std::vector(events_)) {
            const uint64_t id = event.attempt.request.value();
            auto& request = requests_.at(id);
            const size_t entry = request.entry;
            auto& pool = *pools_[entry];
            if (event.type == EngineEvent::Type::FirstToken) {
                request.hasFirstToken = true;
                auto& outcome = result_.outcomes[request.arrival];
                outcome.isGood = true;
                outcome.firstToken = time_ - request.submittedAt;
                result_.wastedPrefillTokens += std::exchange(request.prefillLost, 0);
                timed([&] { pool.attemptStarted(event.attempt, fromSeconds(time_ - request.grantedAt), now()); });
            } else {
                const auto& arrival = arrivals_[request.arrival];
                const Duration duration = fromSeconds(time_ - request.grantedAt);
                requests_.erase(id);
                timed([&] { pool.attemptFinished(event.attempt, AttemptOutcome::Completed, Tokens(arrival.promptTokens), Tokens(arrival.outputTokens), duration, now()); });
            }
            carryOut(entry);
        }
    }
}

SimulationResult Simulation::run()
{
    scheduleFaults();
    for (size_t engine = 0; engine < engines_.size(); ++engine)
        scheduleReports(engine);
    size_t nextArrival = 0;
    const int steps = static_cast<int>((runSeconds + drainSeconds) / stepSeconds);
    for (int step = 1; step <= steps; ++step) {
        time_ = step * stepSeconds;
        while (!timers_.empty() && timers_.top().time <= time_) {
            auto action = timers_.top().action;
            timers_.pop();
            action();
        }
        for (; nextArrival < arrivals_.size() && arrivals_[nextArrival].time <= time_; ++nextArrival)
            arrive(nextArrival, spec_.comebacks);
        engineEvents();
        for (size_t entry = 0; entry < pools_.size() && step % stepsByTick == 0; ++entry) {
            timed([&] { pools_[entry]->tick(now()); });
            carryOut(entry);
        }
    }
    result_.slotUse = slotUse_ * stepSeconds / ((countedUntil - countedFrom) * static_cast<double>(engines_.size()));
    for (const auto& engine : engines_)
        result_.prefillTokens += engine.prefillTotal();
    for (const auto& check : checks_) {
        result_.tierRuleViolations += check.violations();
        result_.deadlineRefusalsAbove += check.deadlineRefusalsAbove();
    }
    return result_;
}

}
