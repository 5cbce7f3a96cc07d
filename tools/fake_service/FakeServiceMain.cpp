#include "briarhitch/runtime/Program.h"
#include "fake_service/ServiceApi.h"
#include "support/StandInServer.h"

#include <absl/flags/flag.h>
#include <absl/time/time.h>

ABSL_FLAG(absl::Duration, call_time, absl::Milliseconds(5), "time of one call");
ABSL_FLAG(uint32_t, slots, 16, "calls that run side by side at full speed");
ABSL_FLAG(double, rate_limit, -1, "requests per second that the answers name as limit for all callers together; negative: none");
ABSL_FLAG(std::string, crash_on, "", "text; a call whose path or body contains it crashes the service when it begins to run it");
ABSL_FLAG(absl::Duration, load_delay, absl::Milliseconds(200), "age of the published load, up to twice this");

namespace briarhitch {
namespace {

    int run()
    {
        ServiceApi::Settings settings;
        settings.callTime = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_call_time));
        settings.slots = absl::GetFlag(FLAGS_slots);
        settings.loadDelay = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_load_delay));
        Loop loop;
        FaultSwitch faults(loop);
        faults.setCrashText(absl::GetFlag(FLAGS_crash_on));
        if (auto limit = absl::GetFlag(FLAGS_rate_limit); limit >= 0)
            faults.setRateLimit(limit);
        ServiceApi api(loop, faults, settings);
        api.start();
        return runStandIn(loop, faults, [&api](const HttpRequest& request, HttpExchange& exchange) { api.handle(request, exchange); });
    }

}
}

int main(int argc, char** argv)
{
    briarhitch::runProgram(argc, argv, { "briarhitch-fake-service", "stand-in for a booking or shop service; for tests only", "FakeServiceMain" }, briarhitch::run);
}
