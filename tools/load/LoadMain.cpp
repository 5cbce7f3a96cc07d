#include "briarhitch/runtime/Loop.h"
#include "briarhitch/runtime/Program.h"
#include "load/LoadRunner.h"

#include <absl/flags/flag.h>
#include <absl/time/time.h>
#include <algorithm>
#include <cstdio>

ABSL_FLAG(std::string, entries, "", "entries to send to: HOST:PORT,HOST:PORT");
ABSL_FLAG(std::string, customers, "", "JSON file with the customers, their keys and their mix of work");
ABSL_FLAG(std::string, model, "small", "model of the model requests");
ABSL_FLAG(std::string, service, "booking", "service of the charges and lookups");
ABSL_FLAG(uint64_t, seed, 1, "seed of arrivals and requests");
ABSL_FLAG(double, rate, 50, "mean arrivals per second");
ABSL_FLAG(uint64_t, burst, 1, "requests that arrive at one moment; 1 gives Poisson arrivals");
ABSL_FLAG(uint64_t, count, 1000, "largest number of requests");
ABSL_FLAG(absl::Duration, time, absl::Seconds(10), "longest time in which requests arrive");
ABSL_FLAG(uint64_t, max_in_flight, 2000, "arrivals beyond this are skipped and counted");
ABSL_FLAG(absl::Duration, deadline, absl::Seconds(30), "deadline sent with each request");
ABSL_FLAG(absl::Duration, timeout, absl::Seconds(60), "longest wait for a part of an answer");
ABSL_FLAG(int64_t, shortest_prompt, 20, "tokens");
ABSL_FLAG(int64_t, longest_prompt, 2000, "tokens");
ABSL_FLAG(int64_t, max_tokens, 64, "tokens of each model answer");
ABSL_FLAG(int, charge_resends, 3, "further sendings of a charge whose answer was lost");
ABSL_FLAG(std::string, journal, "", "file for a JSON line about each request");

namespace briarhitch {
namespace {

    constexpr double lowestRate = 0.001;

    Result<LoadPlan> planFromFlags()
    {
        LoadPlan plan;
        auto entries = parseEntries(absl::GetFlag(FLAGS_entries));
        if (!entries)
            return tl::unexpected(entries.error());
        auto customers = readCustomers(absl::GetFlag(FLAGS_customers));
        if (!customers)
            return tl::unexpected(customers.error());
        plan.entries = *entries;
        plan.customers = *customers;
        plan.model = absl::GetFlag(FLAGS_model);
        plan.service = absl::GetFlag(FLAGS_service);
        plan.seed = absl::GetFlag(FLAGS_seed);
        plan.rate = std::max(lowestRate, absl::GetFlag(FLAGS_rate));
        plan.burst = std::max<uint64_t>(1, absl::GetFlag(FLAGS_burst));
        plan.maxRequests = absl::GetFlag(FLAGS_count);
        plan.maxTime = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_time));
        plan.maxInFlight = absl::GetFlag(FLAGS_max_in_flight);
        plan.deadline = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_deadline));
        plan.timeout = absl::ToChronoNanoseconds(absl::GetFlag(FLAGS_timeout));
        plan.shortestPrompt = std::max<int64_t>(1, absl::GetFlag(FLAGS_shortest_prompt));
        plan.longestPrompt = std::max(plan.shortestPrompt, absl::GetFlag(FLAGS_longest_prompt));
        plan.maxTokens = std::max<int64_t>(1, absl::GetFlag(FLAGS_max_tokens));
        plan.chargeResends = std::max(0, absl::GetFlag(FLAGS_charge_resends));
        plan.journalPath = absl::GetFlag(FLAGS_journal);
        return plan;
    }

    int run()
    {
        auto plan = planFromFlags();
        if (!plan) {
            std::fprintf(stderr, "%s\n", plan.error().message.c_str());
            return exitWrongUsage;
        }
        int exitCode = 0;
        // The journal is complete once the tally is gone.
        {
            Loop loop;
            LoadTally tally(*plan);
            LoadRunner runner(loop, *plan, tally);
            auto started = BootClock::now();
            loop.spawn([&] {
                runner.run();
                loop.stop();
            });
            loop.run();
            std::printf("%s\n", tally.toJson(BootClock::now() - started).c_str());
            exitCode = tally.wrong() > 0 ? 1 : 0;
        }
        std::fflush(stdout);
        return exitCode;
    }

}
}

int main(int argc, char** argv)
{
    briarhitch::runProgram(argc, argv, { "briarhitch-load", "open-loop load generator.\n\nusage: briarhitch-load --entries HOST:PORT,... --customers FILE [FLAGS]\n\nPrints one JSON object. exit codes: 0 no answer was wrong; 1 an answer was wrong; 2 wrong flags", "LoadMain" }, briarhitch::run);
}
