#include "metrics/MetricHelp.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace briarhitch {

namespace {

    constexpr std::pair<std::string_view, std::string_view> helpTexts[] {
        { "ceiling_admitted_tokens_total", "Tokens admitted under customers' ceilings, by who decided." },
        { "ceiling_decisions_total", "Requests decided under customers' ceilings, by who decided and result." },
        { "ceiling_local_tokens_total", "Tokens that entries admitted locally and reported to this owner." },
        { "control_admin_requests_total", "Requests to the operators' API, by method." },
        { "control_changes_total", "Operators' changes, by result." },
        { "control_claims_refused_total", "Claims of idempotency keys that were refused, by kind of error." },
        { "control_claims_total", "Claims of idempotency keys, by outcome." },
        { "control_config_version", "Version of the configuration that this voter has." },
        { "control_blocked_suspects", "Requests and parts of prompts that are recorded as blocked." },
        { "control_discovery_failures_total", "Reads of the list of targets that failed." },
        { "control_discovery_total", "Reads of the list of targets that succeeded." },
        { "control_discovery_unusable_entries", "Entries of the list of targets that name no target to use." },
        { "control_heartbeats_failed_total", "Heartbeats to control nodes without an answer." },
        { "control_heartbeats_total", "Heartbeats of entries that were answered." },
        { "control_is_leader", "1 on the leader of the control log." },
        { "control_link_bytes_received", "Bytes received on links between own processes." },
        { "control_link_bytes_sent", "Bytes sent on links between own processes." },
        { "control_nodes", "Entries that are registered." },
        { "control_nodes_lost", "Registered entries whose heartbeats are missing." },
        { "control_nodes_lost_total", "Entries that were taken for lost." },
        { "control_pool_moves_total", "Pools that were given to another owner." },
        { "control_pools_without_owner", "Pools that no entry owns." },
        { "control_rollout_answered", "Answers since a rollout was ordered, by service, of its target version and of the others." },
        { "control_rollout_bad", "Bad answers since a rollout was ordered, by service, of its target version and of the others." },
        { "control_rollout_granted", "Requests granted since a rollout was ordered, by service, to its target version and to the others." },
        { "control_rollout_reports_total", "Reports of pool owners on rollouts, by whether they were accepted." },
        { "control_rollout_share", "Part of a service's requests that a rollout's version may get, 0 to 1." },
        { "control_rollout_stage", "Stage of a service's last rollout: 0 trial, 1 shift, 2 drain." },
        { "control_rollout_state", "State of a service's last rollout: 0 running, 1 completed, 2 rolled back." },
        { "control_run_answer_bytes", "Size of the kept answers of idempotent requests." },
        { "control_run_records", "Kept records of idempotent requests." },
        { "control_term", "Term of the control log." },
        { "entry_completed_total", "Requests whose whole answer was delivered, by tier." },
        { "entry_config_version", "Version of the configuration in force at this entry." },
        { "entry_exceptions", "Unexpected exceptions that ended one exchange or one step of this process." },
        { "entry_exceptions_total", "Requests that ended with an unexpected exception." },
        { "entry_fibers", "Fibers that are running." },
        { "entry_first_token_seconds", "From a request's arrival to its first token, by tier." },
        { "entry_has_lease", "1 while this entry may take work that needs the control quorum." },
        { "entry_in_deadline_total", "Requests that were answered before their deadline, by tier." },
        { "entry_in_flight", "Requests that are being served." },
        { "entry_link_bytes_received", "Bytes received on links between own processes." },
        { "entry_link_bytes_sent", "Bytes sent on links between own processes." },
        { "entry_prefill_wasted_tokens_total", "Prompt tokens that were read in vain, by reason." },
        { "entry_queue_seconds", "From a request's ask for a target to the grant or refusal, by tier." },
        { "entry_refusals_total", "Requests that were refused, by kind of error." },
        { "entry_request_seconds", "From a request's arrival to the end of its answer, by tier." },
        { "entry_requests_total", "Requests that arrived, by tier." },
        { "entry_retries_total", "Further attempts at another target, by reason." },
        { "entry_retry_refusals_total", "Further attempts that the retry budget did not allow, by reason." },
        { "entry_stream_resumes_total", "Streams that went on at another target." },
        { "entry_streams_cut_off_total", "Streams that broke off before their end." },
        { "entry_tokens_total", "Tokens of completed requests, by direction." },
        { "entry_waiting_for_grant", "Requests that wait for a target." },
        { "http_client_idle_connections", "Connections to targets that are kept for the next request." },
        { "http_client_open_connections", "Connections to targets that are being opened, in use or idle." },
        { "pool_blocked_suspects", "Requests and parts of prompts that are blocked because they crashed targets." },
        { "pool_broken_attempts_total", "Attempts whose target closed the connection before its answer was complete." },
        { "pool_continued_streams_total", "Requests of callers that continue a stream, by whether the owner of the pool knew the software version that began it." },
        { "pool_known_streams", "Streams whose software version this owner of pools knows." },
        { "pool_owned", "Pools that this entry owns." },
        { "pool_queued", "Requests that wait in an owned pool, by pool and tier." },
        { "pool_rate_limit_held", "Requests that wait in an owned pool while a target has a free slot but its rate limit allows no request." },
        { "pool_rate_limit_refusals_total", "Requests that the rate limits of an owned pool's targets left no room for, by pool." },
        { "pool_rate_limit_requests_per_second", "Sum of the rate limits that targets of an owned pool name." },
        { "pool_rate_limited_targets", "Targets of an owned pool that name a rate limit." },
        { "pool_rollout_granted_total", "Requests that owners granted while a rollout of the pool's service ran, by pool and by whether the target has the target version." },
        { "pool_rollout_running", "Requests that run while a rollout of the pool's service runs, by pool and by whether the target has the target version." },
        { "pool_rollout_share_permille", "Part of a pool's requests that the target version of its rollout may get, in thousandths." },
        { "pool_running", "Requests that run in an owned pool, by pool and tier." },
        { "pool_superseded_attempts_total", "Attempts that were stopped because their callers continued the streams with other requests." },
        { "pool_superseded_stop_seconds", "From the first order to stop an attempt whose caller continues the stream with another request to its end." },
        { "pool_suspect_refusals_total", "Requests that owners refused because they or a part of their prompt are blocked, by kind." },
        { "pool_suspect_trials_total", "Requests that owners let run although they or a part of their prompt were blocked." },
        { "pool_suspect_verdicts_total", "Changes of what owners believe of requests and parts of prompts, by kind and state." },
        { "pool_suspects", "Requests and parts of prompts that targets ran when they ended." },
        { "routed_ends_total", "Routed requests that ended without a refusal, by end." },
        { "routed_first_event_seconds", "From a routed request's arrival to its first event, by tier." },
        { "routed_late_total", "Routed requests that were answered after their objective, by cause." },
        { "routed_moves_total", "Tries to move a running stream to a faster target, by result." },
        { "routed_limited_target_requests_total", "Requests to targets that named a rate limit, by who selected the target." },
        { "routed_queue_seconds", "From a routed request's ask for a target to the grant or refusal, by tier." },
        { "routed_refusals_total", "Routed requests that were refused, by kind of error." },
        { "routed_repeat_refusals_total", "Further attempts that the service's budget did not allow, by reason." },
        { "routed_repeats_total", "Further attempts at another target, by reason." },
        { "routed_request_seconds", "From a routed request's arrival to the end of its answer, by tier." },
        { "routed_target_signals_total", "Answers in which a target said that it leaves, wants a pause or limits its requests, by signal." },
        { "routed_unsent_total", "Grants whose target could not be reached, by reason." },
    };

}

std::string_view metricHelp(std::string_view name)
{
    const auto* it = std::find_if(std::begin(helpTexts), std::end(helpTexts), [&](const auto& entry) { return entry.first == name; });
    return it == std::end(helpTexts) ? std::string_view() : it->second;
}

}
