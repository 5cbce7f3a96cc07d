#include "briarhitch/entry/RequestRunner.h"

#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/FiberEvent.h"
#include "support/EntryFakes.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;

    const std::string completeStream = "id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n";

    /** A runner in a loop, with fakes of everything else. */
    struct Fixture {
        explicit Fixture(Loop& loopToUse)
            : loop(loopToUse)
            , outcomeCommitted(loopToUse)
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

        RequestRunnerHooks hooks()
        {
            RequestRunnerHooks result;
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
                committedOutcomes.push_back(finish);
                outcomeCommitted.set();
                return Result<void>();
            };
            result.acquireCeiling = [this](const Contract&, Tokens) -> Result<void> {
                ++openCeilingDebits;
                return {};
            };
            result.releaseCeiling = [this](CustomerId, Tokens) { --openCeilingDebits; };
            result.recordRequest = [](CustomerId) {};
            result.acquireRetry = [this](CustomerId) { return retriesLeft-- > 0; };
            result.now = clock.hook();
            result.sleep = [this](Duration time) { clock.now += time; };
            return result;
        }

        void prepareCharge()
        {
            request.poolKind = PoolKind::Service;
            request.serves = "booking";
            request.method = "POST";
            request.target = "/charges";
        }

        void prepareStream()
        {
            request.method = "POST";
            request.target = "/v1/chat/completions";
            request.isStream = true;
            request.isIdempotent = true;
        }

        void run() { runner->run(request, contract, exchange); }

        /** Waits for the outcome of the run record that was committed. */
        RunState committedState()
        {
            outcomeCommitted.wait();
            EXPECT_EQ(committedOutcomes.size(), 1u);
            return committedOutcomes.front().state;
        }

        std::string errorField(const char* name) const
        {
            auto json = nlohmann::json::parse(exchange.body, nullptr, false);
            return json.is_object() ? json["error"].value(name, "") : "";
        }

        Loop& loop;
        FiberEvent outcomeCommitted;
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
        std::vector<FinishRun> committedOutcomes;
        bool hasLease { true };
        int claims { 0 };
        int openCeilingDebits { 0 };
        int retriesLeft { 100 };
        std::unique_ptr<RequestRunner> runner;
    };

    void withFixture(const std::function<void(Fixture&)>& body)
    {
        runInFiber([&](Loop& loop) {
            Fixture fixture(loop);
            body(fixture);
            waitForOtherFibers(loop);
            EXPECT_EQ(fixture.openCeilingDebits, 0);
        });
    }

    // Guards against a deadly block that is never blocked because it stands far back in a long prompt.
    TEST(RequestRunnerTest, OwnersLearnAllBlocksOfALongPrompt)
    {
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            for (uint32_t block = 1; block <= 100; ++block)
                fixture.request.prefix.push_back(block);
            fixture.targets.script = { respondWith(200, "done") };
            fixture.run();
            EXPECT_EQ(fixture.pools.grantRequests.at(0).sharedParts.size(), 100u);
        });
    }

    // Guards against a duplicate charge: however the first attempt fails, there is no second one.
    TEST(RequestRunnerTest, ChargeThatMayHaveRunIsNeverRetried)
    {
        std::vector<ScriptedResponse> failures {
            failWith(ErrorKind::TargetTimeout, Ran::Unknown),
            failWith(ErrorKind::TargetFailed, Ran::Unknown),
            { std::nullopt, 200, {}, { std::string("half"), fail(ErrorKind::TargetFailed, "reset") } },
            respondWith(503, "busy"),
            respondWith(429, "busy"),
        };
        for (const auto& failure : failures) {
            withFixture([&](Fixture& fixture) {
                fixture.prepareCharge();
                fixture.targets.script = { failure, respondWith(200, "charged twice") };
                fixture.run();
                EXPECT_EQ(fixture.targets.sentRequests(), 1u);
                EXPECT_EQ(fixture.exchange.responses, 1);
                EXPECT_EQ(fixture.errorField("ran"), "unknown");
                EXPECT_EQ(findHeader(fixture.exchange.headers, "Retry-After"), "");
                EXPECT_EQ(fixture.committedState(), RunState::Unknown);
            });
        }
    }

    // Guards against reporting a charge as possibly run when it certainly was not, which would block its key for good.
    TEST(RequestRunnerTest, ChargeThatDidNotRunIsReportedAsNotRun)
    {
        for (const auto& failure : { failWith(ErrorKind::TargetFailed, Ran::No), respondWith(503, "busy", { { "X-Not-Run", "1" } }) }) {
            withFixture([&](Fixture& fixture) {
                fixture.prepareCharge();
                fixture.targets.script = { failure };
                fixture.run();
                EXPECT_EQ(fixture.targets.sentRequests(), 1u);
                EXPECT_EQ(fixture.errorField("ran"), "no");
                EXPECT_EQ(fixture.committedState(), RunState::NotRun);
            });
        }
    }

    // Guards against sending before the run record is committed, or although another request holds it.
    TEST(RequestRunnerTest, NothingIsSentWithoutAClaimedRunRecord)
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
            withFixture([&](Fixture& fixture) {
                fixture.prepareCharge();
                fixture.claimReplies = { { test.outcome, std::nullopt } };
                fixture.run();
                EXPECT_TRUE(fixture.targets.log.empty());
                EXPECT_EQ(fixture.errorField("kind"), test.kind);
                EXPECT_EQ(fixture.errorField("ran"), test.ran);
                // A claim without a reply may still be committed, so it is released.
                if (test.outcome == ClaimOutcome::NoQuorum)
                    EXPECT_EQ(fixture.committedState(), RunState::NotRun);
                else
                    EXPECT_EQ(fixture.runner->inFlight(), 0u);
            });
        }
    }

    // Guards against a duplicate that runs, or that gets a different response than the first request.
    TEST(RequestRunnerTest, DuplicateWaitsForTheRecordedResponse)
    {
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            ClaimRunReply inProgress { ClaimOutcome::InProgress, std::nullopt };
            fixture.claimReplies = { inProgress, inProgress, { ClaimOutcome::Finished, RecordedResponse { 201, "text/plain", "charged" } } };
            fixture.run();
            EXPECT_TRUE(fixture.targets.log.empty());
            EXPECT_EQ(fixture.exchange.status, 201);
            EXPECT_EQ(fixture.exchange.body, "charged");
        });
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            fixture.claimReplies.assign(1000, { ClaimOutcome::InProgress, std::nullopt });
            fixture.run();
            EXPECT_TRUE(fixture.targets.log.empty());
            EXPECT_EQ(fixture.errorField("kind"), "run_in_progress");
        });
    }

    // Guards against requests that are sent without a lease, or under a grant of an owner that lost the pool.
    TEST(RequestRunnerTest, LeaseAndEpochAreCheckedBeforeSending)
    {
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            fixture.pools.onAcquire = [&] { fixture.hasLease = false; };
            fixture.run();
            EXPECT_TRUE(fixture.targets.log.empty());
            EXPECT_EQ(fixture.errorField("kind"), "no_lease");
            EXPECT_EQ(fixture.errorField("ran"), "no");
            EXPECT_EQ(fixture.pools.released, 1);
            EXPECT_EQ(fixture.committedState(), RunState::NotRun);
        });
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            fixture.pools.staleGrants = 1;
            fixture.targets.script = { respondWith(200, "charged") };
            fixture.run();
            EXPECT_EQ(fixture.targets.sentRequests(), 1u);
            EXPECT_EQ(fixture.pools.grantRequests.size(), 2u);
            EXPECT_EQ(fixture.pools.released, 1);
            EXPECT_EQ(fixture.exchange.body, "charged");
            EXPECT_EQ(fixture.committedState(), RunState::Done);
        });
    }

    // Guards against sending although the lease or the epoch ended, or the caller disconnected, while the connection was opened.
    TEST(RequestRunnerTest, LeaseEpochAndCallerAreCheckedAgainBeforeTheFirstByte)
    {
        for (bool isStream : { false, true }) {
            auto withRequest = [&](const std::function<void(Fixture&)>& change, const std::function<void(Fixture&)>& check) {
                withFixture([&](Fixture& fixture) {
                    if (isStream)
                        fixture.prepareStream();
                    else
                        fixture.prepareCharge();
                    fixture.targets.script = { respondWith(200, completeStream), respondWith(200, completeStream) };
                    fixture.targets.onConnected = [&] { change(fixture); };
                    fixture.run();
                    check(fixture);
                });
            };
            withRequest([](Fixture& fixture) { fixture.hasLease = false; },
                [](Fixture& fixture) {
                    EXPECT_TRUE(fixture.targets.log.empty());
                    EXPECT_EQ(fixture.errorField("kind"), "no_lease");
                    EXPECT_EQ(fixture.errorField("ran"), "no");
                    EXPECT_EQ(fixture.pools.released, 1);
                });
            withRequest([](Fixture& fixture) { fixture.exchange.disconnect(); },
                [](Fixture& fixture) {
                    EXPECT_TRUE(fixture.targets.log.empty());
                    EXPECT_EQ(fixture.pools.released, 1);
                });
            // The grant becomes stale once; the request is then sent under a new one.
            withRequest([first = true](Fixture& fixture) mutable { fixture.pools.staleGrants = std::exchange(first, false) ? 1 : 0; },
                [](Fixture& fixture) {
                    EXPECT_EQ(fixture.targets.log.size(), 1u);
                    EXPECT_EQ(fixture.pools.grantRequests.size(), 2u);
                    EXPECT_EQ(fixture.exchange.body, completeStream);
                });
        }
    }

    // Guards against retries on the same target, beyond the budget, or with a wrong `ran`.
    TEST(RequestRunnerTest, IdempotentRequestIsRetriedOnAnotherTargetWithinTheBudget)
    {
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            fixture.request.isIdempotent = true;
            fixture.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown), respondWith(200, "status") };
            fixture.run();
            EXPECT_EQ(fixture.exchange.body, "status");
            ASSERT_EQ(fixture.pools.grantRequests.size(), 2u);
            EXPECT_EQ(fixture.pools.grantRequests[1].excluded, std::vector<TargetId> { TargetId(1) });
            EXPECT_NE(fixture.pools.grantRequests[0].attempt, fixture.pools.grantRequests[1].attempt);
            EXPECT_EQ(fixture.claims, 0);
            EXPECT_EQ(fixture.metrics.counter("entry_retries_total", "reason=\"target_failed\""), 1u);
        });
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            fixture.request.isIdempotent = true;
            fixture.retriesLeft = 0;
            fixture.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown), respondWith(200, "status") };
            fixture.run();
            EXPECT_EQ(fixture.targets.sentRequests(), 1u);
            EXPECT_EQ(fixture.errorField("kind"), "retry_budget_spent");
            EXPECT_EQ(fixture.errorField("ran"), "unknown");
        });
        // The second grant request is refused before anything is sent, but the first attempt may have run.
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            fixture.request.isIdempotent = true;
            fixture.pools.grants.resize(1);
            fixture.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown) };
            fixture.run();
            EXPECT_EQ(fixture.errorField("kind"), "no_target");
            EXPECT_EQ(fixture.errorField("ran"), "unknown");
        });
    }

    // Guards against a target that gets a request twice because the pool owner grants it again.
    TEST(RequestRunnerTest, TargetThatGotTheRequestIsNotUsedAgain)
    {
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            fixture.request.isIdempotent = true;
            fixture.pools.grants = { TargetId(1), TargetId(1), TargetId(2) };
            fixture.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown), respondWith(200, "status") };
            fixture.run();
            EXPECT_EQ(fixture.exchange.body, "status");
            EXPECT_EQ(fixture.targets.sentRequests(), 2u);
            EXPECT_EQ(fixture.pools.released, 1);
        });
    }

    // Guards against new requests to a draining target when the entry learns of the change before the pool owner (invariant 6).
    TEST(RequestRunnerTest, GrantForADrainingTargetIsReleased)
    {
        withFixture([](Fixture& fixture) {
            HeartbeatReply reply;
            auto config = fixture.view.config();
            config.version = Version(2);
            config.targets[TargetId(1)].state = TargetState::Draining;
            reply.snapshot = config;
            fixture.view.apply(reply);
            fixture.prepareCharge();
            fixture.pools.grants = { TargetId(1), TargetId(2) };
            fixture.targets.script = { respondWith(200, "charged") };
            fixture.run();
            EXPECT_EQ(fixture.exchange.body, "charged");
            EXPECT_EQ(fixture.targets.sentRequests(), 1u);
            EXPECT_EQ(fixture.pools.released, 1);
            ASSERT_EQ(fixture.pools.grantRequests.size(), 2u);
            EXPECT_EQ(fixture.pools.grantRequests[1].excluded, std::vector<TargetId> { TargetId(1) });
        });
    }

    // Guards against a charge that is aborted because its caller disconnected.
    TEST(RequestRunnerTest, ChargeIsCompletedWhenItsCallerDisconnects)
    {
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            fixture.targets.script = { respondWith(200, "charged") };
            fixture.targets.onRequest = [&] { fixture.exchange.disconnect(); };
            fixture.run();
            EXPECT_EQ(fixture.committedState(), RunState::Done);
            EXPECT_EQ(fixture.committedOutcomes[0].response->body, "charged");
            EXPECT_EQ(fixture.pools.outcomes, std::vector { AttemptOutcome::Completed });
        });
    }

    // Guards against a request that is sent although its caller disconnected while it was queued.
    TEST(RequestRunnerTest, QueuedRequestOfADisconnectedCallerIsNotSent)
    {
        withFixture([](Fixture& fixture) {
            fixture.prepareCharge();
            fixture.pools.onAcquire = [&] { fixture.exchange.disconnect(); };
            fixture.run();
            EXPECT_EQ(fixture.pools.abandoned, 1);
            EXPECT_EQ(fixture.pools.released, 1);
            EXPECT_TRUE(fixture.targets.log.empty());
            EXPECT_EQ(fixture.committedState(), RunState::NotRun);
        });
    }

    // Guards against engines that continue generations whose caller has disconnected.
    TEST(RequestRunnerTest, StreamIsCancelledAtTheEngineWhenItsCallerDisconnects)
    {
        withFixture([](Fixture& fixture) {
            fixture.prepareStream();
            fixture.exchange.disconnectAfterWrites = 1;
            fixture.targets.script = { respondWith(200, completeStream) };
            fixture.run();
            auto cancelled = fixture.targets.sent("DELETE /v1/streams/");
            ASSERT_EQ(cancelled.size(), 1u);
            EXPECT_EQ(cancelled[0].target, "/v1/streams/" + toString(AttemptId { RequestId(7), 1 }));
            EXPECT_EQ(fixture.pools.outcomes, std::vector { AttemptOutcome::Cancelled });
            EXPECT_EQ(fixture.metrics.counter("entry_prefill_wasted_tokens_total", "reason=\"caller_left\""), 100u);
        });
    }

    // Guards against a partial stream that looks complete, and against mixing the streams of two engines.
    TEST(RequestRunnerTest, InterruptedStreamIsAborted)
    {
        withFixture([](Fixture& fixture) {
            fixture.prepareStream();
            fixture.targets.script = { { std::nullopt, 200, {}, { std::string("id: 1\ndata: a\n\n"), fail(ErrorKind::TargetFailed, "reset") } }, respondWith(404, "{}"), respondWith(200, completeStream) };
            fixture.run();
            EXPECT_TRUE(fixture.exchange.isAborted);
            EXPECT_FALSE(fixture.exchange.isEnded);
            EXPECT_EQ(fixture.exchange.body, "id: 1\ndata: a\n\n");
            EXPECT_EQ(fixture.targets.sent("POST").size(), 1u);
        });
    }

    // Guards against failing a stream that could be retried, as the caller has received nothing of it.
    TEST(RequestRunnerTest, StreamLostBeforeItsFirstEventIsRetriedAfterItsCancellation)
    {
        withFixture([](Fixture& fixture) {
            fixture.prepareStream();
            fixture.targets.script = { failWith(ErrorKind::TargetFailed, Ran::Unknown), respondWith(404, "{}"), respondWith(200, completeStream) };
            fixture.run();
            EXPECT_TRUE(fixture.exchange.isEnded);
            EXPECT_EQ(fixture.exchange.body, completeStream);
            ASSERT_EQ(fixture.targets.log.size(), 4u);
            EXPECT_EQ(fixture.targets.log[2].method, "DELETE");
            EXPECT_EQ(fixture.targets.log[3].method, "POST");
        });
    }

    // Guards against admitting new requests on a node, or for a customer, that must not accept them.
    TEST(RequestRunnerTest, NewRequestsAreRefusedAtOnceWhereTheyMayNotRun)
    {
        auto refusal = [](const std::function<void(Fixture&)>& prepare) {
            std::string kind;
            withFixture([&](Fixture& fixture) {
                fixture.prepareCharge();
                prepare(fixture);
                fixture.run();
                kind = fixture.errorField("kind");
                EXPECT_EQ(fixture.errorField("ran"), "no");
                EXPECT_TRUE(fixture.pools.grantRequests.empty());
                EXPECT_EQ(fixture.claims, 0);
            });
            return kind;
        };
        EXPECT_EQ(refusal([](Fixture& fixture) { fixture.runner->setDraining(); }), "draining");
        EXPECT_EQ(refusal([](Fixture& fixture) { fixture.hasLease = false; }), "no_quorum");
        EXPECT_EQ(refusal([](Fixture& fixture) { fixture.contract.state = CustomerState::NoNewWork; }), "customer_closing");
    }

}
}
