#include "briarhitch/http/HttpClient.h"

#include "support/EntryFakes.h"
#include "support/Mutation.h"
#include "support/RawTarget.h"

#include <gtest/gtest.h>

namespace briarhitch {
namespace {

    using namespace std::chrono_literals;
    using End = RawAnswer::End;

    constexpr uint64_t seed = 20261206;
    constexpr int mutationsOfEach = 150;

    // Guards against malformed answers that crash or block a node, or whose status is none.
    TEST(AnswerMutationTest, AnswersAreReadOrRejected)
    {
        runInFiber([](Loop& loop) {
            Random random(seed);
            const std::string body = "Content-Length: 5\r\n\r\nwhole";
            const std::vector<std::string> forms {
                "HTTP/1.1 200 OK\r\n" + body,
                "HTTP/1.1 000 X\r\n" + body,
                "HTTP/1.1 099 X\r\n" + body,
                "HTTP/1.1 1000 X\r\n" + body,
                "HTTP/1.1 20 X\r\n" + body,
                "HTTP/1.1 OK\r\n" + body,
                "HTTP/1.1\r\n" + body,
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + body,
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nT: x\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\nwhole",
                "HTTP/1.1 200 OK\r\nA: x\r\n",
            };
            std::string answer;
            auto end = End::Close;
            bool readsBody = true;
            RawTarget target(loop, [&](const std::string&, int) { return RawAnswer { answer, end, readsBody, 0ms }; });
            HttpClient client(loop);
            int rejected = 0;
            for (const auto& form : forms) {
                for (int i = 0; i < mutationsOfEach; ++i) {
                    answer = i == 0 ? form : mutate(form, random);
                    end = random.below(2) == 0 ? End::Close : End::Reset;
                    readsBody = random.below(2) == 0;
                    HttpCallSettings call;
                    call.host = "127.0.0.1";
                    call.port = target.port();
                    call.method = "POST";
                    call.body = std::string(random.below(64) * 1024, 'x');
                    call.headerTimeout = 5s;
                    call.isReuseAllowed = false;
                    auto response = fetch(client, call);
                    rejected += response ? 0 : 1;
                    if (response)
                        EXPECT_TRUE(response->status >= 200 && response->status <= 599) << answer;
                    else
                        EXPECT_TRUE(response.error().kind == ErrorKind::TargetFailed || response.error().kind == ErrorKind::TargetClosed) << answer << response.error().message;
                }
            }
            EXPECT_GT(rejected, mutationsOfEach);
        });
    }

}
}
