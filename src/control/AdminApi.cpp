#include "briarhitch/control/AdminApi.h"

#include "briarhitch/http/BearerKey.h"
#include "briarhitch/metrics/MetricRegistry.h"
#include "briarhitch/runtime/Loop.h"
#include "control/AdminJson.h"
#include "control/StatusReport.h"
#include "rollout/RolloutDriver.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <algorithm>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr double defaultWaitSeconds = 5;
    constexpr double maxWaitSeconds = 30;
    constexpr Duration pollInterval = 50ms;

    const HttpHeaders jsonHeaders { { "Content-Type", "application/json" } };

    void sendJson(HttpExchange& exchange, int status, const Json& json)
    {
        exchange.send(status, jsonHeaders, dump(json) + "\n");
    }

    Result<double> readWait(const std::string& query)
    {
        double wait = defaultWaitSeconds;
        std::vector<std::string> parts = absl::StrSplit(query, '&', absl::SkipEmpty());
        for (const auto& part : parts) {
            std::pair<std::string, std::string> field = absl::StrSplit(part, absl::MaxSplits('=', 1));
            if (field.first != "wait_s")
                return fail(ErrorKind::BadRequest, "the only query parameter is wait_s, found " + field.first);
            bool isValid = absl::SimpleAtod(field.second, &wait) && wait >= 0 && wait <= maxWaitSeconds;
            if (!isValid)
                return fail(ErrorKind::BadRequest, "wait_s: found " + field.second + ", expected a number from 0 to 30");
        }
        return wait;
    }

    Json runToJson(const StoredRun& run)
    {
        static constexpr const char* states[] = { "claimed", "done", "not_run", "unknown" };
        Json json;
        json["idempotency_key"] = run.record.key.idempotencyKey;
        json["state"] = states[static_cast<size_t>(run.record.state)];
        json["ended_at_ms"] = run.endedAtMs;
        if (const auto& response = run.record.response) {
            json["status"] = response->status;
            json["content_type"] = response->contentType;
            // The body may be binary.
            json["body_base64"] = absl::Base64Escape(response->body);
        }
        return json;
    }

}

/** One authorized request, received by the leader. */
struct AdminApi::Call {
    const HttpRequest& request;
    HttpExchange& exchange;
    /** Segments of the path after "/v1/". */
    std::vector<std::string> path;
    double waitSeconds { defaultWaitSeconds };

    [[nodiscard]] bool is(std::string_view method, size_t parts) const { return request.method == method && path.size() == parts; }
    void fail(const Error& error) const { sendError(exchange, error); }
    void fail(ErrorKind kind, std::string message) const { sendError(exchange, makeError(kind, std::move(message))); }
    void failNoRoute() const { fail(ErrorKind::NotFound, "there is no " + request.method + " " + request.path); }
};

AdminApi::AdminApi(Loop& loop, AdminSettings settings, ControlServer& server, MetricRegistry& metrics)
    : loop_(loop)
    , settings_(std::move(settings))
    , server_(server)
    , metrics_(metrics)
{
}

void AdminApi::handle(const HttpRequest& request, HttpExchange& exchange)
{
    if (request.path == "/healthz")
        exchange.send(200, { { "Content-Type", "text/plain" } }, "ok\n");
    else if (request.path == "/readyz")
        sendReadiness(exchange);
    else if (request.path == "/metrics")
        exchange.send(200, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics_.toPrometheusText());
    else if (!request.path.starts_with("/v1/"))
        sendError(exchange, makeError(ErrorKind::NotFound, "there is no " + request.path));
    else if (!isOperator(request))
        sendError(exchange, makeError(ErrorKind::Unauthorized, "the request needs an operator's key in the header Authorization: Bearer KEY"));
    else
        handleAuthorized(request, exchange);
}

void AdminApi::handleAuthorized(const HttpRequest& request, HttpExchange& exchange)
{
    metrics_.count("control_admin_requests_total", "method=\"" + request.method + "\"");
    bool isStatus = request.path == "/v1/status" && request.method == "GET";
    if (!server_.isLeader()) {
        auto leader = server_.leader();
        bool isKnownElsewhere = leader && leader->node != settings_.self;
        if (isKnownElsewhere)
            redirect(request, exchange);
        else if (isStatus)
            sendStatus(exchange);
        else
            sendError(exchange, makeError(ErrorKind::NoQuorum, "the control processes have no leader at the moment"));
        return;
    }
    if (isStatus) {
        sendStatus(exchange);
        return;
    }
    auto wait = readWait(request.query);
    if (!wait) {
        sendError(exchange, wait.error());
        return;
    }
    std::vector<std::string> path = absl::StrSplit(request.path.substr(4), '/');
    route(Call { request, exchange, std::move(path), *wait });
}

void AdminApi::route(const Call& call)
{
    if (call.path[0] == "customers")
        routeCustomer(call);
    else if (call.path[0] == "targets")
        routeTarget(call);
    else if (call.path[0] == "suspects")
        routeSuspect(call);
    else if (call.path[0] == "rollouts" && server_.rollouts())
        routeRollout(call);
    else if (call.path[0] == "changes" && call.is("GET", 2))
        showChange(call);
    else if (call.path[0] == "voters" && call.is("POST", 3))
        changeVoter(call);
    else
        call.failNoRoute();
}

void AdminApi::routeCustomer(const Call& call)
{
    if (call.is("GET", 1)) {
        Json list = Json::array();
        for (const auto& [id, contract] : server_.state().config().customers)
            list.push_back(toJson(contract));
        sendJson(call.exchange, 200, { { "customers", list } });
    } else if (call.is("GET", 2)) {
        const auto* contract = server_.state().findCustomer(call.path[1]);
        if (contract)
            sendJson(call.exchange, 200, toJson(*contract));
        else
            call.fail(ErrorKind::NotFound, "there is no customer " + call.path[1]);
    } else if (call.is("PUT", 2)) {
        putCustomer(call);
    } else if (call.is("POST", 3) && call.path[2] == "wind-down") {
        windDown(call);
    } else if (call.is("GET", 3) && call.path[2] == "export") {
        exportCustomer(call);
    } else {
        call.failNoRoute();
    }
}

void AdminApi::routeTarget(const Call& call)
{
    if (call.is("GET", 1)) {
        Json list = Json::array();
        for (const auto& [id, target] : server_.state().config().targets)
            list.push_back(toJson(target));
        sendJson(call.exchange, 200, { { "targets", list } });
    } else if (call.is("GET", 2)) {
        const auto* target = server_.state().findTarget(call.path[1]);
        if (target)
            sendJson(call.exchange, 200, toJson(*target));
        else
            call.fail(ErrorKind::NotFound, "there is no target " + call.path[1]);
    } else if (call.is("PUT", 2)) {
        putTarget(call);
    } else if (call.is("POST", 3) && call.path[2] == "drain") {
        setTargetState(call, TargetState::Draining);
    } else if (call.is("POST", 3) && call.path[2] == "retire") {
        setTargetState(call, TargetState::Retired);
    } else {
        call.failNoRoute();
    }
}

void AdminApi::routeSuspect(const Call& call)
{
    auto id = call.path.size() > 1 ? parseSuspectId(call.path[1]) : std::nullopt;
    if (call.is("GET", 1)) {
        Json list = Json::array();
        for (const auto& [suspect, record] : server_.state().config().suspects)
            list.push_back(toJson(record));
        sendJson(call.exchange, 200, { { "suspects", list } });
    } else if (call.is("POST", 3) && call.path[2] == "clear" && id) {
        clearSuspect(call, *id);
    } else {
        call.failNoRoute();
    }
}

void AdminApi::clearSuspect(const Call& call, SuspectId id)
{
    // Clearing has no change id: it may be repeated, and clearing what is not blocked changes nothing.
    auto result = server_.recordSuspects({ {}, { id } });
    if (!result) {
        call.fail(result.error());
        return;
    }
    auto behind = waitInForce(call, result->configVersion);
    sendJson(call.exchange, 200, { { "suspect", toString(id) }, { "in_force", behind.empty() }, { "not_applied", toJson(behind) } });
}

void AdminApi::routeRollout(const Call& call)
{
    if (call.is("GET", 1)) {
        Json list = Json::array();
        for (const auto& [service, rollout] : server_.state().config().rollouts)
            list.push_back(toJson(rollout, *server_.rollouts()));
        sendJson(call.exchange, 200, { { "rollouts", list } });
    } else if (call.is("POST", 2)) {
        startRollout(call);
    } else {
        call.failNoRoute();
    }
}

void AdminApi::startRollout(const Call& call)
{
    auto order = parseRolloutOrder(call.path[1], call.request.body);
    if (!order) {
        call.fail(order.error());
        return;
    }
    // An order has no change id: a repeated one is recognized by its content.
    auto result = server_.startRollout(order->service, order->targetVersion, order->durationMs);
    if (!result) {
        call.fail(result.error());
        return;
    }
    if (!result->accepted) {
        sendJson(call.exchange, errorInfo(result->kind).httpStatus, rejectionToJson(*result));
        return;
    }
    auto behind = waitInForce(call, result->configVersion);
    sendJson(call.exchange, 200, { { "rollout", result->objectVersion.value() }, { "service", order->service }, { "in_force", behind.empty() }, { "not_applied", toJson(behind) } });
}

void AdminApi::putCustomer(const Call& call)
{
    auto command = parsePutCustomer(call.path[1], call.request.body.text());
    if (!command)
        call.fail(command.error());
    else
        commit(call, command->change.changeId, encodeCommand(*command));
}

void AdminApi::windDown(const Call& call)
{
    auto command = parseWindDown(call.path[1], call.request.body.text());
    if (!command) {
        call.fail(command.error());
        return;
    }
    const auto* contract = server_.state().findCustomer(call.path[1]);
    bool isDraining = contract && contract->state == CustomerState::NoNewWork && command->step == CustomerState::Drained;
    if (isDraining) {
        if (auto drained = waitDrained(call, contract->name); !drained) {
            call.fail(drained.error());
            return;
        }
    }
    commit(call, command->change.changeId, encodeCommand(*command));
}

void AdminApi::putTarget(const Call& call)
{
    auto command = parsePutTarget(call.path[1], call.request.body.text(), settings_.poolScope);
    if (!command)
        call.fail(command.error());
    else
        commit(call, command->change.changeId, encodeCommand(*command));
}

void AdminApi::setTargetState(const Call& call, TargetState state)
{
    auto command = parseSetTargetState(call.path[1], call.request.body.text(), state);
    if (!command)
        call.fail(command.error());
    else
        commit(call, command->change.changeId, encodeCommand(*command));
}

void AdminApi::changeVoter(const Call& call)
{
    uint32_t number = 0;
    if (!absl::SimpleAtoi(call.path[1], &number) || number == 0) {
        call.fail(ErrorKind::BadRequest, "a voter is identified by its node number, found " + call.path[1]);
        return;
    }
    const auto* hook = call.path[2] == "add" ? &settings_.addVoter : call.path[2] == "remove" ? &settings_.removeVoter
                                                                                              : nullptr;
    if (!hook || !*hook) {
        call.failNoRoute();
        return;
    }
    // The change can be repeated: adding a member or removing a non-member changes nothing.
    if (auto changed = (*hook)(NodeId(number)); !changed) {
        call.fail(changed.error());
        return;
    }
    sendJson(call.exchange, 200, { { "node", number }, { "proposed", call.path[2] } });
}

void AdminApi::commit(const Call& call, const std::string& changeId, std::string command)
{
    auto result = server_.propose(std::move(command));
    if (!result) {
        auto error = result.error();
        if (error.ran == Ran::Unknown)
            error.message += "; the change may still be accepted: send it again with the same change_id";
        metrics_.count("control_changes_total", "result=\"" + std::string(errorInfo(error.kind).name) + "\"");
        call.fail(error);
        return;
    }
    if (!result->accepted) {
        metrics_.count("control_changes_total", "result=\"" + std::string(errorInfo(result->kind).name) + "\"");
        sendJson(call.exchange, errorInfo(result->kind).httpStatus, rejectionToJson(*result));
        return;
    }
    metrics_.count("control_changes_total", "result=\"accepted\"");
    sendJson(call.exchange, 200, changeToJson(changeId, *result, waitInForce(call, result->configVersion)));
}

std::vector<NodeId> AdminApi::waitInForce(const Call& call, Version version)
{
    Instant deadline = BootClock::now() + fromSeconds(call.waitSeconds);
    for (;;) {
        auto behind = server_.nodesBehind(version);
        if (behind.empty() || BootClock::now() >= deadline || call.exchange.isCallerDisconnected())
            return behind;
        sleepFor(loop_, pollInterval);
    }
}

Result<void> AdminApi::waitDrained(const Call& call, const std::string& customer)
{
    Instant deadline = BootClock::now() + fromSeconds(call.waitSeconds);
    // Nodes report requests in flight only for customers that are being closed, so they must have applied that step first.
    auto version = server_.state().config().version;
    for (;;) {
        const auto* contract = server_.state().findCustomer(customer);
        auto busy = contract ? server_.nodesBusyWith(contract->customer) : std::vector<NodeId>();
        auto behind = server_.nodesBehind(version);
        if (busy.empty() && behind.empty())
            return {};
        if (BootClock::now() >= deadline || call.exchange.isCallerDisconnected() || !server_.isLeader()) {
            return fail(ErrorKind::Unavailable, "customer " + customer + " is not drained: requests in flight on nodes " + dump(toJson(busy)) + ", current step not yet reported by nodes " + dump(toJson(behind)));
        }
        sleepFor(loop_, pollInterval);
    }
}

void AdminApi::showChange(const Call& call)
{
    const auto* change = server_.state().changes().find(call.path[1]);
    if (!change) {
        call.fail(ErrorKind::NotFound, "there is no change " + call.path[1]);
        return;
    }
    auto json = change->result.accepted ? changeToJson(change->id, change->result, server_.nodesBehind(change->result.configVersion)) : rejectionToJson(change->result);
    json["change_id"] = change->id;
    json["accepted"] = change->result.accepted;
    sendJson(call.exchange, 200, json);
}

void AdminApi::exportCustomer(const Call& call)
{
    const auto* contract = server_.state().findCustomer(call.path[1]);
    if (!contract) {
        call.fail(ErrorKind::NotFound, "there is no customer " + call.path[1]);
        return;
    }
    if (contract->state != CustomerState::Drained && contract->state != CustomerState::Exported) {
        call.fail(ErrorKind::BadRequest, "customer " + contract->name + " is " + std::string(toString(contract->state)) + "; only a drained customer is exported");
        return;
    }
    // One JSON text per line, the contract first. Streamed, because the records of a large customer do not fit into memory as one response.
    auto runs = server_.state().runs().runsOf(contract->customer);
    bool open = call.exchange.beginStream(200, { { "Content-Type", "application/x-ndjson" } });
    open = open && call.exchange.write(dump(toJson(*contract)) + "\n");
    for (size_t i = 0; i < runs.size() && open; ++i)
        open = call.exchange.write(dump(runToJson(runs[i])) + "\n");
    if (open)
        call.exchange.endStream();
}

void AdminApi::sendStatus(HttpExchange& exchange)
{
    sendJson(exchange, 200, statusToJson(settings_, server_, BootClock::now()));
}

void AdminApi::sendReadiness(HttpExchange& exchange)
{
    bool isReady = server_.isLeader() || (server_.leader() && server_.leader()->node != settings_.self);
    exchange.send(isReady ? 200 : 503, { { "Content-Type", "text/plain" } }, isReady ? "ready\n" : "no leader\n");
}

void AdminApi::redirect(const HttpRequest& request, HttpExchange& exchange)
{
    auto leader = server_.leader();
    std::string location = "http://" + leader->host + ":" + std::to_string(leader->adminPort) + request.path + (request.query.empty() ? "" : "?" + request.query);
    auto error = makeError(ErrorKind::NotLeader, "the leader is node " + std::to_string(leader->node.value()));
    exchange.send(307, { { "Location", location }, { "Content-Type", "application/json" } }, errorToJson(error) + "\n");
}

bool AdminApi::isOperator(const HttpRequest& request) const
{
    return hasKnownBearerKey(request, settings_.operatorKeyHashes);
}

}
