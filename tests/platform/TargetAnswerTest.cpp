#include "Wire.h"

#include "support/RawTarget.h"
#include "support/RoutedRequestFixture.h"

#include <absl/strings/str_format.h>
#include <array>

#include <gtest/gtest.h>

namespace briarhitch::platform {
namespace {

    using namespace std::chrono_literals;
    using End = RawAnswer::End;

    const std::string stamps = "Briarhitch-Response-Stamp: s\r\nBriarhitch-Request-Id: c1\r\n";
    const std::string eventStream = "Content-Type: text/event-stream\r\n";
    const std::string allEvents = event(1) + event(2) + event(3);
    /** Fits into the socket buffers of both sides, so that its write ends before the target has received it. */
    constexpr size_t bufferedBodyBytes = 600 * 1024;
    /** Exceeds the socket buffers of both sides, so that its write never ends unless the target reads. */
    constexpr size_t longBodyBytes = 16 * 1024 * 1024;

    std::string withLength(const std::string& body)
    {
        return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    std::string chunked(const std::string& body)
    {
        return "Transfer-Encoding: chunked\r\n\r\n" + (body.empty() ? "" : absl::StrFormat("%x\r\n%s\r\n", body.size(), body)) + "0\r\n\r\n";
    }

    std::string ok(const std::string& rest, const std::string& status = "200")
    {
        return "HTTP/1.1 " + status + " X\r\n" + stamps + rest;
    }

    enum class Framing : uint8_t {
        Length,
        Chunks,
        None,
    };

    std::string framed(Framing framing, const std::string& body)
    {
        return framing == Framing::Length ? withLength(body) : framing == Framing::Chunks ? chunked(body)
                                                                                          : "\r\n" + body;
    }

    /** What the caller got, and how many requests the targets got. */
    struct Outcome {
        std::string answer;
        int requests { 0 };
        int connections { 0 };
    };

    constexpr std::array paths { "/charge/1", "/lookup/1", "/plan/1", "/resume/1" };

    bool isStream(const std::string& path) { return path == "/plan/1" || path == "/resume/1"; }

    /** Runs a request whose first target answers by `answer`, and others soundly. */
    Outcome outcomeOf(const std::string& path, const RawAnswer& answer, size_t bodyBytes = 0, Duration timeout = 20s)
    {
        Outcome outcome;
        runInFiber([&](Loop& loop) {
            auto sound = ok(isStream(path) ? eventStream + chunked(allEvents) : withLength("sound"));
            RawTarget target(loop, [&](const std::string&, int number) { return number == 0 ? answer : RawAnswer { sound }; });
            RoutedRequestLimits limits;
            limits.responseGracePeriod = 50ms;
            // Long bodies take their time on a busy machine.
            limits.stallTimeout = timeout;
            RoutedRequestFixture fixture(limits);
            auto config = fixture.view.config();
            config.version = Version(2);
            RoutedRequestFixture::addRoute(config, "/resume/", RouteKind::Stream, "engines", 2, true);
            for (auto& route : config.routing.routes)
                route.timeoutMs = clampMs(timeout);
            for (auto& [id, configured] : config.targets) {
                configured.host = "127.0.0.1";
                configured.port = target.port();
            }
            fixture.apply(config);
            HttpClient client(loop);
            auto hooks = fixture.hooks();
            hooks.start = [&](const HttpCallSettings& settings) { return client.start(settings); };
            hooks.now = &BootClock::now;
            RoutedRequestRunner runner(limits, serverProtocol(), fixture.view, fixture.pools, fixture.history, fixture.metrics, hooks, 1);
            runner.onConfigChange(fixture.view.config());
            auto request = RoutedRequestFixture::requestTo(path);
            request.callerTimeout.reset();
            request.body = std::string(bodyBytes, 'x');
            runner.run(request, fixture.exchange);
            const auto& exchange = fixture.exchange;
            bool isCut = exchange.isAborted || (isStream(path) && exchange.status == 200 && !exchange.isEnded);
            outcome = { isCut ? "cut" : exchange.status == 200 ? exchange.body
                                                               : std::to_string(exchange.status),
                target.requests(), target.connections() };
        });
        return outcome;
    }

    /** The answer is none: only a request that may run again is sent again. */
    void expectNoAnswer(const RawAnswer& answer, size_t bodyBytes = 0)
    {
        for (const std::string path : paths) {
            SCOPED_TRACE(path);
            auto ownAnswer = answer;
            auto at = answer.bytes.find(eventStream);
            if (!isStream(path) && at != std::string::npos)
                ownAnswer.bytes.erase(at, eventStream.size());
            auto outcome = outcomeOf(path, ownAnswer, bodyBytes);
            bool mayRunAgain = path == "/lookup/1" || path == "/resume/1";
            EXPECT_EQ(outcome.requests, mayRunAgain ? 2 : 1) << outcome.answer;
            if (path == "/plan/1" && outcome.answer == "cut")
                continue;
            EXPECT_EQ(outcome.answer, !mayRunAgain ? "502" : isStream(path) ? allEvents
                                                                            : "sound");
        }
    }

    /** The answer is passed on. */
    void expectAnswer(const std::string& start, Framing framing, RawAnswer answer, size_t bodyBytes = 0)
    {
        for (const std::string path : paths) {
            SCOPED_TRACE(path);
            answer.bytes = start + ok((isStream(path) ? eventStream : "") + framed(framing, isStream(path) ? allEvents : "whole"));
            auto outcome = outcomeOf(path, answer, bodyBytes);
            EXPECT_EQ(outcome.requests, 1);
            EXPECT_EQ(outcome.answer, isStream(path) ? allEvents : "whole");
        }
    }

    /** Part of an answer's body, which is an event of a stream. */
    std::string part(Framing framing)
    {
        auto whole = ok(eventStream + framed(framing, allEvents));
        return whole.substr(0, whole.find("id: 2"));
    }

    // Guards against statuses that are none and that a caller gets as the answer to its request.
    TEST(TargetAnswerTest, StatusOutsideTheDefinedRangeIsNoAnswer)
    {
        for (const auto* status : { "000", "099", "1000", "20", "OK", "", "101", "199", "600", "999", "-20" }) {
            SCOPED_TRACE(status);
            expectNoAnswer({ ok(withLength("whole"), status), End::Close });
        }
        expectNoAnswer({ "HTTP/1.1\r\n" + stamps + withLength("whole"), End::Close });
        expectNoAnswer({ stamps + withLength("whole"), End::Close });
    }

    // Guards against an answer whose header was cut and that a caller gets, or that is taken for a refusal.
    TEST(TargetAnswerTest, CutHeaderIsNoAnswer)
    {
        const auto header = ok(eventStream + "\r\n");
        for (size_t size = 0; size < header.size(); ++size) {
            for (auto end : { End::Close, End::Reset }) {
                SCOPED_TRACE(testing::Message() << size << (end == End::Close ? " closed" : " reset"));
                expectNoAnswer({ header.substr(0, size), end, true, 0ms });
            }
        }
    }

    // Guards against interim answers that are taken for the answer, or that have the request fail or run twice.
    TEST(TargetAnswerTest, InterimAnswersAreSkipped)
    {
        for (const auto* interim : { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" })
            expectAnswer(interim, Framing::Length, {});
        expectNoAnswer({ "HTTP/1.1 100 Continue\r\n\r\n", End::Close });
        std::string many;
        for (int i = 0; i < 1000; ++i)
            many += "HTTP/1.1 100 Continue\r\n\r\n";
        expectNoAnswer({ many + ok(withLength("whole")), End::Hold });
    }

    // Guards against part of an answer that a caller gets as the whole.
    TEST(TargetAnswerTest, PartOfAnAnswerIsNoAnswer)
    {
        for (auto framing : { Framing::Length, Framing::Chunks, Framing::None }) {
            for (auto end : { End::Reset, End::Close }) {
                // Without a length, a part cannot be told from a whole that is closed in an orderly way.
                if (framing == Framing::None && end == End::Close)
                    continue;
                SCOPED_TRACE(testing::Message() << static_cast<int>(framing) << (end == End::Close ? " closed" : " reset"));
                expectNoAnswer({ part(framing), end });
            }
        }
    }

    // Guards against part of an answer that a caller gets as the whole because the target gave up the request while it
    // was still being sent, and against an attempt that waits for its write.
    TEST(TargetAnswerTest, PartOfAnEarlyAnswerIsNoAnswer)
    {
        for (size_t bodyBytes : { bufferedBodyBytes, longBodyBytes }) {
            for (auto framing : { Framing::Length, Framing::Chunks, Framing::None }) {
                for (auto end : { End::Reset, End::Close }) {
                    SCOPED_TRACE(testing::Message() << bodyBytes << " bytes, framing " << static_cast<int>(framing) << ", end " << static_cast<int>(end));
                    for (auto delay : { 0ms, 15ms })
                        expectNoAnswer({ part(framing), end, false, delay }, bodyBytes);
                }
            }
        }
    }

    // Guards against an attempt that outlasts its time-out because its target reads and sends no more.
    TEST(TargetAnswerTest, StalledEarlyAnswerEndsAtTheTimeout)
    {
        for (const std::string path : paths) {
            SCOPED_TRACE(path);
            auto outcome = outcomeOf(path, { part(Framing::Length), End::Hold, false }, longBodyBytes, 400ms);
            EXPECT_EQ(outcome.requests, 1);
            EXPECT_EQ(outcome.answer, "cut");
        }
    }

    // Guards against answers that get lost because the target sent them before it had read the request.
    TEST(TargetAnswerTest, CompleteEarlyAnswerWithALengthIsPassedOn)
    {
        for (size_t bodyBytes : { bufferedBodyBytes, longBodyBytes }) {
            for (auto framing : { Framing::Length, Framing::Chunks }) {
                for (auto end : { End::Reset, End::Close, End::Hold }) {
                    SCOPED_TRACE(testing::Message() << bodyBytes << " bytes, framing " << static_cast<int>(framing) << ", end " << static_cast<int>(end));
                    expectAnswer("", framing, { "", end, false }, bodyBytes);
                }
            }
        }
    }

    // Guards against answers of legal form that are rejected.
    TEST(TargetAnswerTest, CompleteAnswersArePassedOn)
    {
        for (size_t bodyBytes : { size_t(0), bufferedBodyBytes, longBodyBytes }) {
            for (auto framing : { Framing::Length, Framing::Chunks, Framing::None }) {
                SCOPED_TRACE(testing::Message() << bodyBytes << " bytes, framing " << static_cast<int>(framing));
                expectAnswer("", framing, { "", End::Close }, bodyBytes);
            }
        }
    }

}
}
