#include "briarhitch/entry/RequestRunner.h"

#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/FiberEvent.h"
#include "support/EntryFakes.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    const std::string wholeStream = "id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n";

    /** A runner with fakes all around it, inside a loop. */
    struct Bench {
        explicit Bench(Loop& loopToUse)
            : loop(loopToUse)
            , recorded(loopToUse)
        {
            HeartbeatReply reply;
            ClusterConfig config;
            config.version = Version(1);
            for (uint32_t id = 1; id <= 3; ++id) {
                Target target;
                target.id = TargetId(id);
                target.name = "t" + std::to_string(id);
                config.targets[target.id] = target;
                pools.grants.push_back(target.id);
            }
            reply.snapshot = config;
            view.apply(reply);
            contract.customer = CustomerId(4);
            contract.name = "dock";
            request.id = RequestId(7);
            request.customer = contract.customer;
            request.idempotencyKey = "c:key";
            request.isKeyFromCaller = true;
            request.deadline = 10s;
            request.promptTokens = Tokens(100);
            runner = std::make_unique<RequestRunner>(loop, NodeRecord {}, EntryLimits {}, view, pools, client, history, metrics, hooks());
        }

        RunnerHooks hooks()
        {
            RunnerHooks result;
            result.hasLease = [this] { return hasLease; };
            result.hasConfiguration = [] { return true; };
            result.claimRun = [this](const ClaimRun&, Duration) {
                ++claims;
                auto reply = claimReplies.empty() ? ClaimRunReply { ClaimOutcome::Granted, std::nullopt } : claimReplies.front();
                if (!claimReplies.empty())
                    claimReplies.pop_front();
                return Result<ClaimRunReply>(reply);
            };
            result.finishRun = [this](const FinishRun& finish, Duration) {
                records.push_back(finish);
                recorded.set();
                return Result<void>();
            };
            result.enterCeiling = [this](const Contract&, Tokens) -> Result<void> {
                ++entered;
                return {};
            };
            result.leaveCeiling = [this](CustomerId, Tokens) { --entered; };
            result.noteRequest = [](CustomerId) {};
            result.takeRetry = [this](CustomerId) { return retriesLeft-- > 0; };
            result.now = clock.hook();
            result.sleep = [this](Duration time) { clock.now += time; };
            return result;
        }

        void charge()
        {
            request.poolKind = PoolKind::Service;
            request.serves = "booking";
            request.method = "POST";
            request.target = "/charges";
        }

        void stream()
        {
            request.method = "POST";
            request.target = "/v1/chat/completions";
            request.isStream = true;
            request.isRepeatable = true;
        }

        void run() { runner->run(request, contract, exchange); }

        /** The record that was committed. */
        RunState record()
        {
            recorded.wait();
            EXPECT_EQ(records.size(), 1u);
            return records.front().state;
        }

        std::string errorField(const char* name) const
        {
            auto json = nlohmann::json::parse(exchange.body, nullptr, false);
            return json.is_object() ? json["error"].value(name, "") : "";
        }

        Loop& loop;
        FiberEvent recorded;
        ManualClock clock;
        ScriptedTargets targets { clock };
        TargetClient client { targets.hook() };
        ClusterView view;
        FakePools pools;
        RequestHistory history { 10, clock.hook() };
        MetricRegistry metrics;
        FakeExchange exchange;
        Contract contract;
        CallerRequest request;
        std::deque<ClaimRunReply> claimReplies;
        std::vector<FinishRun> records;
        bool hasLease { true };
        int claims { 0 };
        int entered { 0 };
        int retriesLeft { 100 };
        std::unique_ptr<RequestRunner> runner;
    };

    void withBench(const std::function<void(Bench&)>& body)
    {
        runInFiber([&](Loop& loop) {
            Bench bench(loop);
            body(bench);
            waitForOtherFibers(loop);
            EXPECT_EQ(bench.entered, 0);
        });
    }

    // Guards against a duplicate charge: however the first sending fails, there is no second one.
    TEST(RequestRunnerTest, ChargeThatMayHaveRunIsNeverSentAgain)
    {
        std::vector<ScriptedAnswer> failures {
            failWith(ErrorKind::TargetTimeout, Ran::Unknown),
            failWith(ErrorKind::TargetFailed, Ran::Unknown),
            { std::nullopt, 200, {}, { std::string("half"), fail(ErrorKind::TargetFailed, "reset") } },
            answerWith(503, "busy"),
            answerWith(429, "busy"),
        };
        for (const auto& failure : failures) {
            withBench([&](Bench& bench) {
                bench.charge();
                bench.targets.script = { failure, answerWith(200, "charged twice") };
                bench.run();
                EXPECT_EQ(bench.targets.sends(), 1u);
                EXPECT_EQ(bench.exchange.answers, 1);
                EXPECT_EQ(bench.errorField("ran"), "unknown");
                EXPECT_EQ(findHeader(bench.exchange.headers, "Retry-After"), "");
                EXPECT_EQ(bench.record(), RunState::Unknown);
            });
        }
    }

    // Guards against a charge being called run when it certainly was not, which would lock its key for good.
    TEST(RequestRunnerTest, ChargeThatDidNotRunIsReportedSo)
    {
        for (const auto& failure : { failWith(ErrorKind::TargetFailed, Ran::No), answerWith(503, "busy", { { "X-Not-Run", "1" } }) }) {
            withBench([&](Bench& bench) {
                bench.charge();
                bench.targets.script = { failure };
                bench.run();
                EXPECT_EQ(bench.targets.sends(), 1u);
                EXPECT_EQ(bench.errorField("ran"), "no");
                EXPECT_EQ(bench.record(), RunState::NotRun);
            });
        }
    }

    // Guards against sending before the record is committed, or although another arrival holds it.
    TEST(RequestRunnerTest, NothingIsSentWithoutAGrantedRecord)
    {
        struct Case {
            ClaimOutcome outcome;
            std::string kind;
            std::string ran;
        };
        std::vector<Case> cases {
            { ClaimOutcome::Unknown, "outcome_unknown", "unknown" },
            { ClaimOutcome::Finished, "outcome_unknown", "yes" },
            { ClaimOutcome::Conflict, "idempotency_conflict", "no" },
            { ClaimOutcome::StoreFull, "record_store_full", "no" },
            { ClaimOutcome::NoQuorum, "no_quorum", "no" },
        };
        for (const auto& test : cases) {
            withBench([&](Bench& bench) {
                bench.charge();
                bench.claimReplies = { { test.outcome, std::nullopt } };
                bench.run();
                EXPECT_TRUE(bench.targets.log.empty());
                EXPECT_EQ(bench.errorField("kind"), test.kind);
                EXPECT_EQ(bench.errorField("ran"), test.ran);
                // A claim without an answer may still be committed, so it is taken back.
                if (test.outcome == ClaimOutcome::NoQuorum)
                    EXPECT_EQ(bench.record(), RunState::NotRun);
                else
                    EXPECT_EQ(bench.runner->inFlight(), 0u);
            });
        }
    }

    // Guards against a duplicate that runs, or that gets another answer than the first arrival.
    TEST(RequestRunnerTest, DuplicateWaitsForTheRecordedAnswer)
    {
        withBench([](Bench& bench) {
            bench.charge();
            ClaimRunReply busy { ClaimOutcome::InProgress, std::nullopt };
            bench.claimReplies = { busy, busy, { ClaimOutcome::Finished, RecordedResponse { 201, "text/plain", "charged" } } };
            bench.run();
            EXPECT_TRUE(bench.targets.log.empty());
            EXPECT_EQ(bench.exchange.status, 201);
            EXPECT_EQ(bench.exchange.body, "charged");
        });
        withBench([](Bench& bench) {
            bench.charge();
            bench.claimReplies.assign(1000, { ClaimOutcome::InProgress, std::nullopt });
            bench.run();
            EXPECT_TRUE(bench.targets.log.empty());
            EXPECT_EQ(bench.errorField("kind"), "run_in_progress");
        });
    }

    // Guards against work that is sent under an ended lease or by an owner that lost the pool.
    TEST(RequestRunnerTest, LeaseAndEpochAreCheckedBeforeSending)
    {
        withBench([](Bench& bench) {
            bench.charge();
            bench.pools.onAcquire = [&] { bench.hasLease = false; };
            bench.run();
            EXPECT_TRUE(bench.targets.log.empty());
            EXPECT_EQ(bench.errorField("kind"), "no_lease");
            EXPECT_EQ(bench.errorField("ran"), "no");
            EXPECT_EQ(bench.pools.released, 1);
            EXPECT_EQ(bench.record(), RunState::NotRun);
        });
        withBench([](Bench& bench) {
            bench.charge();
            bench.pools.staleGrants = 1;
            bench.targets.script = { answerWith(200, "charged") };
            bench.run();
            EXPECT_EQ(bench.targets.sends(), 1u);
            EXPECT_EQ(bench.pools.asks.size(), 2u);
            EXPECT_EQ(bench.pools.released, 1);
            EXPECT_EQ(bench.exchange.body, "charged");
            EXPECT_EQ(bench.record(), RunState::Done);
        });
    }

    // Guards against a lease or an epoch that ends, or a caller that leaves, while the connection is being opened.
    TEST(RequestRunnerTest, ConditionsAreCheckedAgainJustBeforeTheFirstByte)
    {
        for (bool isStream : { false, true }) {
            auto withRequest = [&](const std::function<void(Bench&)>& change, const std::function<void(Bench&)>& check) {
                withBench([&](Bench& bench) {
                    if (isStream)
                        bench.stream();
                    else
                        bench.charge();
                    bench.targets.script = { answerWith(200, wholeStream), answerWith(200, wholeStream) };
                    bench.targets.onConnected = [&] { change(bench); };
                    bench.run();
                    check(bench);
                });
            };
            withRequest([](Bench& bench) { bench.hasLease = false; },
                [](Bench& bench) {
                    EXPECT_TRUE(bench.targets.log.empty());
                    EXPECT_EQ(bench.errorField("kind"), "no_lease");
                    EXPECT_EQ(bench.errorField("ran"), "no");
                    EXPECT_EQ(bench.pools.released, 1);
                });
            withRequest([](Bench& bench) { bench.exchange.leave(); },
                [](Bench& bench) {
                    EXPECT_TRUE(bench.targets.log.empty());
                    EXPECT_EQ(bench.pools.released, 1);
                });
            // The grant turns stale once; the request then goes out under a new one.
            withRequest([first = true](Bench& bench) mutable { bench.pools.staleGrants = std::exchange(first, false) ? 1 : 0; },
                [](Bench& bench) {
                    EXPECT_EQ(bench.targets.log.size(), 1u);
                    EXPECT_EQ(bench.pools.asks.size(), 2u);
                    EXPECT_EQ(bench.exchange.body, wholeStream);
                });
        }
    }

    // Guards against retries at the same target, beyond the budget, or with a wrong `ran`.
    TEST(RequestRunnerTest, RepeatableWorkIsRetriedElsewhereWithinTheBudget)
    {
        withBench([](Bench& bench) {
            bench.charge();
            bench.request.isRepeatable = true;
            bench.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown), answerWith(200, "status") };
            bench.run();
            EXPECT_EQ(bench.exchange.body, "status");
            ASSERT_EQ(bench.pools.asks.size(), 2u);
            EXPECT_EQ(bench.pools.asks[1].excluded, std::vector<TargetId> { TargetId(1) });
            EXPECT_NE(bench.pools.asks[0].attempt, bench.pools.asks[1].attempt);
            EXPECT_EQ(bench.claims, 0);
            EXPECT_EQ(bench.metrics.counter("entry_retries_total", "reason=\"target_failed\""), 1u);
        });
        withBench([](Bench& bench) {
            bench.charge();
            bench.request.isRepeatable = true;
            bench.retriesLeft = 0;
            bench.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown), answerWith(200, "status") };
            bench.run();
            EXPECT_EQ(bench.targets.sends(), 1u);
            EXPECT_EQ(bench.errorField("kind"), "retry_budget_spent");
            EXPECT_EQ(bench.errorField("ran"), "unknown");
        });
        // The second ask is refused before anything is sent, but the first sending may have run.
        withBench([](Bench& bench) {
            bench.charge();
            bench.request.isRepeatable = true;
            bench.pools.grants.resize(1);
            bench.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown) };
            bench.run();
            EXPECT_EQ(bench.errorField("kind"), "no_target");
            EXPECT_EQ(bench.errorField("ran"), "unknown");
        });
    }

    // Guards against a target that gets a request twice because the owner grants it again.
    TEST(RequestRunnerTest, TargetThatHadTheRequestIsNotUsedAgain)
    {
        withBench([](Bench& bench) {
            bench.charge();
            bench.request.isRepeatable = true;
            bench.pools.grants = { TargetId(1), TargetId(1), TargetId(2) };
            bench.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown), answerWith(200, "status") };
            bench.run();
            EXPECT_EQ(bench.exchange.body, "status");
            EXPECT_EQ(bench.targets.sends(), 2u);
            EXPECT_EQ(bench.pools.released, 1);
        });
    }

    // Guards against new work on a leaving target when the entry learns of the change before the owner does (invariant 6).
    TEST(RequestRunnerTest, GrantForALeavingTargetIsGivenBack)
    {
        withBench([](Bench& bench) {
            HeartbeatReply reply;
            auto config = bench.view.config();
            config.version = Version(2);
            config.targets[TargetId(1)].state = TargetState::Draining;
            reply.snapshot = config;
            bench.view.apply(reply);
            bench.charge();
            bench.pools.grants = { TargetId(1), TargetId(2) };
            bench.targets.script = { answerWith(200, "charged") };
            bench.run();
            EXPECT_EQ(bench.exchange.body, "charged");
            EXPECT_EQ(bench.targets.sends(), 1u);
            EXPECT_EQ(bench.pools.released, 1);
            ASSERT_EQ(bench.pools.asks.size(), 2u);
            EXPECT_EQ(bench.pools.asks[1].excluded, std::vector<TargetId> { TargetId(1) });
        });
    }

    // Guards against a charge that is abandoned half-way because its caller hung up.
    TEST(RequestRunnerTest, ChargeIsSeenThroughWhenItsCallerLeaves)
    {
        withBench([](Bench& bench) {
            bench.charge();
            bench.targets.script = { answerWith(200, "charged") };
            bench.targets.onRequest = [&] { bench.exchange.leave(); };
            bench.run();
            EXPECT_EQ(bench.record(), RunState::Done);
            EXPECT_EQ(bench.records[0].answer->body, "charged");
            EXPECT_EQ(bench.pools.outcomes, std::vector { AttemptOutcome::Completed });
        });
    }

    // Guards against a request that is sent although its caller left the queue.
    TEST(RequestRunnerTest, CallerThatLeavesTheQueueIsNotServed)
    {
        withBench([](Bench& bench) {
            bench.charge();
            bench.pools.onAcquire = [&] { bench.exchange.leave(); };
            bench.run();
            EXPECT_EQ(bench.pools.abandoned, 1);
            EXPECT_EQ(bench.pools.released, 1);
            EXPECT_TRUE(bench.targets.log.empty());
            EXPECT_EQ(bench.record(), RunState::NotRun);
        });
    }

    // Guards against engines that go on with answers nobody reads.
    TEST(RequestRunnerTest, StreamIsCancelledAtTheEngineWhenItsCallerLeaves)
    {
        withBench([](Bench& bench) {
            bench.stream();
            bench.exchange.leaveAfterWrites = 1;
            bench.targets.script = { answerWith(200, wholeStream) };
            bench.run();
            auto cancelled = bench.targets.sent("DELETE /v1/streams/");
            ASSERT_EQ(cancelled.size(), 1u);
            EXPECT_EQ(cancelled[0].target, "/v1/streams/" + toString(AttemptId { RequestId(7), 1 }));
            EXPECT_EQ(bench.pools.outcomes, std::vector { AttemptOutcome::Cancelled });
            EXPECT_EQ(bench.metrics.counter("entry_prefill_wasted_tokens_total", "reason=\"caller_left\""), 100u);
        });
    }

    // Guards against a part of a stream that looks like a whole one, and against a mix of two engines' streams.
    TEST(RequestRunnerTest, BrokenStreamIsCutOffVisibly)
    {
        withBench([](Bench& bench) {
            bench.stream();
            bench.targets.script = { { std::nullopt, 200, {}, { std::string("id: 1\ndata: a\n\n"), fail(ErrorKind::TargetFailed, "reset") } }, answerWith(404, "{}"), answerWith(200, wholeStream) };
            bench.run();
            EXPECT_TRUE(bench.exchange.isAborted);
            EXPECT_FALSE(bench.exchange.isEnded);
            EXPECT_EQ(bench.exchange.body, "id: 1\ndata: a\n\n");
            EXPECT_EQ(bench.targets.sent("POST").size(), 1u);
        });
    }

    // Guards against giving up on a stream of which the caller has seen nothing yet.
    TEST(RequestRunnerTest, StreamLostBeforeItsFirstEventIsRetriedAfterItsCancellation)
    {
        withBench([](Bench& bench) {
            bench.stream();
            bench.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown), answerWith(404, "{}"), answerWith(200, wholeStream) };
            bench.run();
            EXPECT_TRUE(bench.exchange.isEnded);
            EXPECT_EQ(bench.exchange.body, wholeStream);
            ASSERT_EQ(bench.targets.log.size(), 4u);
            EXPECT_EQ(bench.targets.log[2].method, "DELETE");
            EXPECT_EQ(bench.targets.log[3].method, "POST");
        });
    }

    // Guards against admission of new work by a node or for a customer that must not take it.
    TEST(RequestRunnerTest, NewWorkIsRefusedAtOnceWhereItMayNotRun)
    {
        auto refusal = [](const std::function<void(Bench&)>& prepare) {
            std::string kind;
            withBench([&](Bench& bench) {
                bench.charge();
                prepare(bench);
                bench.run();
                kind = bench.errorField("kind");
                EXPECT_EQ(bench.errorField("ran"), "no");
                EXPECT_TRUE(bench.pools.asks.empty());
                EXPECT_EQ(bench.claims, 0);
            });
            return kind;
        };
        EXPECT_EQ(refusal([](Bench& bench) { bench.runner->setDraining(); }), "draining");
        EXPECT_EQ(refusal([](Bench& bench) { bench.hasLease = false; }), "no_quorum");
        EXPECT_EQ(refusal([](Bench& bench) { bench.contract.state = CustomerState::NoNewWork; }), "customer_closing");
    }

}
}
