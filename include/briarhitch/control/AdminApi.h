#pragma once

#include "briarhitch/consensus/RaftNode.h"
#include "briarhitch/control/ControlServer.h"
#include "briarhitch/http/HttpServer.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace briarhitch {

struct AdminSettings {
    NodeId self;
    std::vector<ControlVoter> voters;
    /** SHA-256 of the operators' bearer keys, in hexadecimal. */
    std::vector<std::string> operatorKeyHashes;
    PoolScope poolScope { PoolScope::Region };
    /** State of the replicated log for /v1/status; optional. */
    std::function<RaftStatus()> logStatus;
    /** Membership changes of the replicated log; not set for a single process without one. */
    std::function<Result<void>(NodeId)> addVoter {};
    std::function<Result<void>(NodeId)> removeVoter {};
};

/** The HTTP API for operators; see docs/design.md 4.4 and docs/control.md. */
class AdminApi {
public:
    AdminApi(Loop& loop, AdminSettings settings, ControlServer& server, MetricRegistry& metrics);

    /** Handler for HttpServer. */
    void handle(const HttpRequest& request, HttpExchange& exchange);

private:
    struct Call;

    void handleAuthorized(const HttpRequest& request, HttpExchange& exchange);
    void route(const Call& call);
    void routeCustomer(const Call& call);
    void routeTarget(const Call& call);
    void putCustomer(const Call& call);
    void windDown(const Call& call);
    void putTarget(const Call& call);
    void setTargetState(const Call& call, TargetState state);
    void routeSuspect(const Call& call);
    void routeRollout(const Call& call);
    void startRollout(const Call& call);
    void clearSuspect(const Call& call, SuspectId id);
    void changeVoter(const Call& call);
    void showChange(const Call& call);
    void exportCustomer(const Call& call);
    void sendStatus(HttpExchange& exchange);
    void sendReadiness(HttpExchange& exchange);
    void redirect(const HttpRequest& request, HttpExchange& exchange);
    void commit(const Call& call, const std::string& changeId, std::string command);
    /** Waits, at most for the call's wait time, until every node with a lease has applied the version; returns the nodes that have not. */
    std::vector<NodeId> waitInForce(const Call& call, Version version);
    /** Waits, at most for the call's wait time, until no node has requests of the customer in flight; Unavailable if one still has. */
    Result<void> waitDrained(const Call& call, const std::string& customer);
    [[nodiscard]] bool isOperator(const HttpRequest& request) const;

    Loop& loop_;
    AdminSettings settings_;
    ControlServer& server_;
    MetricRegistry& metrics_;
};

}
