#include "briarhitch/runtime/Program.h"
#include "fake_engine/EngineApi.h"
#include "support/StandInServer.h"

#include <absl/flags/flag.h>
#include <absl/time/time.h>

ABSL_FLAG(uint32_t, slots, 8, "streams that run side by side");
ABSL_FLAG(absl::Duration, step_time, absl::Milliseconds(10), "time of a token while one stream runs");
ABSL_FLAG(double, step_growth, 0.05, "part of step_time that each further running stream adds");
ABSL_FLAG(double, prefill_tokens_per_second, 8000, "speed of prompt computation");
ABSL_FLAG(absl::Duration, resume_time, absl::Seconds(10), "a stream that nobody reads is ended after this time");
ABSL_FLAG(absl::Duration, load_delay, absl::Milliseconds(200), "age of the published load, up to twice this");
ABSL_FLAG(int64_t, cache_tokens, 65536, "capacity of the prefix cache");
ABSL_FLAG(absl::Duration, cache_event_delay, absl::Milliseconds(500), "delay of cache events");
ABSL_FLAG(double, cache_event_loss, 0.02, "part of the cache events that is lost");
ABSL_FLAG(bool, check_fencing, false, "refuse requests with an old X-Fencing-Token");
ABSL_FLAG(std::string, crash_on, "", "text; a prompt that contains it crashes the engine when it begins to answer");
ABSL_FLAG(uint64_t, seed, 1, "seed of the lost cache events");

namespace briarhitch {
namespace {

    BatchEngine::Settings settingsFromFlags()
    {
        BatchEngine::Settings settings;
        settings.slots = absl::GetFlag(FLAGS_slots);
        settings.stepTime = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_step_time));
        settings.stepGrowth = absl::GetFlag(FLAGS_step_growth);
        settings.prefillTokensPerSecond = absl::GetFlag(FLAGS_prefill_tokens_per_second);
        settings.resumeTime = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_resume_time));
        settings.loadDelay = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_load_delay));
        settings.cache.capacityTokens = absl::GetFlag(FLAGS_cache_tokens);
        settings.cache.eventDelay = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_cache_event_delay));
        settings.cache.eventLoss = absl::GetFlag(FLAGS_cache_event_loss);
        settings.cache.seed = absl::GetFlag(FLAGS_seed);
        return settings;
    }

    int run()
    {
        Loop loop;
        FaultSwitch faults(loop);
        faults.setCrashText(absl::GetFlag(FLAGS_crash_on));
        BatchEngine engine(loop, settingsFromFlags(), [&faults] { return faults.slowdown(); });
        EngineApi api(engine, faults, absl::GetFlag(FLAGS_check_fencing));
        engine.start();
        return runStandIn(loop, faults, [&api](const HttpRequest& request, HttpExchange& exchange) { api.handle(request, exchange); });
    }

}
}

int main(int argc, char** argv)
{
    briarhitch::runProgram(argc, argv, { "briarhitch-fake-engine", "stand-in for a language model engine; for tests only", "FakeEngineMain" }, briarhitch::run);
}
