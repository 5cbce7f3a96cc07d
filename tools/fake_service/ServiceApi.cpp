#include "fake_service/ServiceApi.h"

#include "briarhitch/runtime/Loop.h"
#include "support/ExpectedAnswer.h"
#include "support/StandInServer.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <nlohmann/json.hpp>

namespace briarhitch {

namespace {

    constexpr std::string_view statusPath = "/status/";

}

ServiceApi::ServiceApi(Loop& loop, FaultSwitch& faults, const Settings& settings)
    : loop_(loop)
    , faults_(faults)
    , settings_(settings)
{
}

void ServiceApi::start()
{
    loop_.spawn([this] {
        for (;;) {
            sleepFor(loop_, settings_.loadDelay);
            publishedRunning_ = observedRunning_;
            observedRunning_ = running_;
        }
    });
}

void ServiceApi::handle(const HttpRequest& request, HttpExchange& exchange)
{
    if (request.method == "POST" && request.path == "/charges")
        handleCharge(request, exchange);
    else if (request.method == "GET" && request.path.starts_with(statusPath))
        handleStatus(request, exchange);
    else if (request.path == "/metrics")
        answerMetrics(exchange);
    else if (request.path == "/admin/ledger")
        answerLedger(exchange);
    else if (request.method == "POST" && request.path == "/admin/faults")
        faults_.answer(request, exchange);
    else if (request.path == "/healthz")
        sendJson(exchange, 200, "{}");
    else
        sendJson(exchange, 404, R"({"error":{"type":"not_found"}})");
}

std::optional<size_t> ServiceApi::work(const HttpRequest& request, HttpExchange& exchange, const std::string& chargeId)
{
    std::string requestId(request.header("X-Request-Id"));
    auto call = absl::StrCat(request.method, " ", request.path);
    auto arrivedMs = toMs(BootClock::now().time_since_epoch());
    bool isDeadly = faults_.crashesOn(request.path) || faults_.crashesOn(request.body.text());
    if (faults_.take(FaultMode::Refuse)) {
        receipts_.push_back({ requestId, call, false, arrivedMs, isDeadly });
        exchange.send(503, { { "Content-Type", "application/json" }, { "X-Not-Run", "1" } }, R"({"error":{"type":"refused"}})");
        return std::nullopt;
    }
    // The charge is booked when it is read, whatever becomes of the answer.
    size_t receipt = receipts_.size();
    receipts_.push_back({ requestId, call, true, arrivedMs, isDeadly });
    if (!chargeId.empty())
        ++charges_[chargeId];
    if (faults_.take(FaultMode::Reset)) {
        exchange.abort();
        return std::nullopt;
    }
    auto crashesBefore = faults_.crashes();
    ++running_;
    double crowding = std::max(1.0, static_cast<double>(running_) / static_cast<double>(settings_.slots));
    sleepFor(loop_, fromSeconds(toSeconds(settings_.callTime) * crowding * faults_.slowdown()));
    if (isDeadly && faults_.crashes() == crashesBefore)
        faults_.crash();
    if (faults_.take(FaultMode::Stall))
        faults_.holdConnection(exchange);
    if (faults_.take(FaultMode::Late))
        sleepFor(loop_, faults_.lateness());
    --running_;
    if (faults_.crashes() != crashesBefore) {
        exchange.abort();
        return std::nullopt;
    }
    return receipt;
}

void ServiceApi::sendAnswer(HttpExchange& exchange, size_t receipt, int status, const std::string& json)
{
    HttpHeaders headers { { "Content-Type", "application/json" } };
    if (auto limit = faults_.rateLimit())
        headers.emplace_back("X-Request-Rate-Limit", absl::StrCat(*limit));
    receipts_[receipt].answeredMs = toMs(BootClock::now().time_since_epoch());
    exchange.send(status, headers, json);
}

void ServiceApi::handleCharge(const HttpRequest& request, HttpExchange& exchange)
{
    auto body = nlohmann::json::parse(request.body.text(), nullptr, false);
    if (!body.is_object() || !body.contains("charge_id") || !body["charge_id"].is_string()) {
        sendJson(exchange, 400, R"({"error":{"type":"bad_request"}})");
        return;
    }
    auto chargeId = body["charge_id"].get<std::string>();
    auto receipt = work(request, exchange, chargeId);
    if (!receipt)
        return;
    nlohmann::json answer = { { "charge_id", chargeId }, { "state", "charged" }, { "checksum", checksumOf(chargeId) } };
    sendAnswer(exchange, *receipt, 201, answer.dump());
}

void ServiceApi::handleStatus(const HttpRequest& request, HttpExchange& exchange)
{
    auto id = request.path.substr(statusPath.size());
    auto receipt = work(request, exchange, {});
    if (!receipt)
        return;
    auto it = charges_.find(id);
    nlohmann::json answer = { { "id", id }, { "charged", it != charges_.end() }, { "checksum", checksumOf(id) } };
    sendAnswer(exchange, *receipt, 200, answer.dump());
}

void ServiceApi::answerMetrics(HttpExchange& exchange) const
{
    auto text = absl::StrCat(
        "# TYPE service_requests_running gauge\nservice_requests_running ", publishedRunning_,
        "\n# TYPE service_requests_waiting gauge\nservice_requests_waiting ",
        publishedRunning_ > settings_.slots ? publishedRunning_ - settings_.slots : 0, "\n");
    exchange.send(200, { { "Content-Type", "text/plain; version=0.0.4" } }, text);
}

void ServiceApi::answerLedger(HttpExchange& exchange) const
{
    auto requests = nlohmann::json::array();
    for (const auto& receipt : receipts_)
        requests.push_back({ { "id", receipt.requestId }, { "call", receipt.call }, { "ran", receipt.ran }, { "arrived_ms", receipt.arrivedMs }, { "deadly", receipt.isDeadly }, { "answered_ms", receipt.answeredMs } });
    sendJson(exchange, 200, nlohmann::json { { "charges", charges_ }, { "requests", requests } }.dump());
}

}
