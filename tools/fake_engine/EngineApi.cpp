#include "fake_engine/EngineApi.h"

#include "support/ExpectedAnswer.h"
#include "support/StandInServer.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    // A reader also looks up from time to time, because its caller may have left.
    constexpr Duration readerCheckInterval = 100ms;
    constexpr std::string_view streamsPath = "/v1/streams/";
    constexpr std::array<std::string_view, 7> stateNames { "waiting", "running", "done", "cancelled", "abandoned", "refused", "fenced" };

    /** Counts a connection as a reader of the stream, so that the stream isn't abandoned. */
    class Reader {
    public:
        explicit Reader(EngineStream& stream)
            : stream_(stream)
        {
            ++stream_.readers;
        }
        ~Reader()
        {
            --stream_.readers;
            stream_.lastRead = BootClock::now();
        }
        Reader(const Reader&) = delete;
        Reader& operator=(const Reader&) = delete;

    private:
        EngineStream& stream_;
    };

    /** 0 unless the text starts with a number. */
    uint64_t numberOf(std::string_view text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    std::string answerText(const EngineStream& stream)
    {
        std::string text;
        for (int64_t index = 0; index < stream.tokensWanted; ++index)
            text += answerToken(stream.promptHash, index);
        return text;
    }

    nlohmann::json envelope(const EngineStream& stream, bool isChunk)
    {
        std::string object = stream.isChat ? "chat.completion" : "text_completion";
        if (isChunk && stream.isChat)
            object += ".chunk";
        return { { "id", stream.id }, { "object", object }, { "model", stream.model } };
    }

    void addTotals(nlohmann::json& json, const EngineStream& stream)
    {
        json["usage"] = { { "prompt_tokens", stream.promptTokens }, { "completion_tokens", stream.tokensWanted },
            { "total_tokens", stream.promptTokens + stream.tokensWanted },
            { "prompt_tokens_details", { { "cached_tokens", stream.cachedTokens } } } };
        json["checksum"] = checksumOf(answerText(stream));
    }

    /** Events 1 to N carry one token each, N + 1 the totals, and N + 2 is the end mark. */
    std::string eventText(const EngineStream& stream, int64_t number)
    {
        if (number == stream.tokensWanted + 2)
            return absl::StrCat("id: ", number, "\ndata: [DONE]\n\n");
        bool isLast = number > stream.tokensWanted;
        auto json = envelope(stream, true);
        nlohmann::json choice = { { "index", 0 }, { "finish_reason", nullptr } };
        auto token = isLast ? std::string() : answerToken(stream.promptHash, number - 1);
        if (stream.isChat)
            choice["delta"] = isLast ? nlohmann::json::object() : nlohmann::json { { "content", token } };
        else
            choice["text"] = token;
        if (isLast) {
            choice["finish_reason"] = "stop";
            addTotals(json, stream);
        }
        json["choices"] = nlohmann::json::array({ choice });
        return absl::StrCat("id: ", number, "\ndata: ", json.dump(), "\n\n");
    }

    int64_t eventsReady(const EngineStream& stream)
    {
        return stream.state == StreamState::Done ? stream.tokensWanted + 2 : stream.tokensDone;
    }

    std::string errorBody(std::string_view kind)
    {
        return nlohmann::json { { "error", { { "type", kind } } } }.dump();
    }

}

EngineApi::EngineApi(BatchEngine& engine, FaultSwitch& faults, bool checksFencing)
    : engine_(engine)
    , faults_(faults)
    , checksFencing_(checksFencing)
{
}

void EngineApi::handle(const HttpRequest& request, HttpExchange& exchange)
{
    if (request.method == "POST" && request.path == "/v1/chat/completions")
        handleCompletion(request, exchange, true);
    else if (request.method == "POST" && request.path == "/v1/completions")
        handleCompletion(request, exchange, false);
    else if (request.path.starts_with(streamsPath))
        handleStream(request, exchange);
    else if (request.path == "/metrics")
        answerMetrics(exchange);
    else if (request.path == "/v1/cache/events") {
        constexpr std::string_view parameter = "after=";
        auto after = request.query.starts_with(parameter) ? numberOf(std::string_view(request.query).substr(parameter.size())) : 0;
        sendJson(exchange, 200, engine_.cache().eventsAfter(after, BootClock::now()));
    } else if (request.path == "/admin/ledger")
        answerLedger(exchange);
    else if (request.method == "POST" && request.path == "/admin/faults")
        faults_.answer(request, exchange);
    else if (request.path == "/healthz")
        sendJson(exchange, 200, "{}");
    else
        sendJson(exchange, 404, errorBody("not_found"));
}

bool EngineApi::isFenced(const HttpRequest& request)
{
    auto token = numberOf(request.header("X-Fencing-Token"));
    if (!checksFencing_ || token == 0)
        return false;
    newestFencingToken_ = std::max(newestFencingToken_, token);
    return token < newestFencingToken_;
}

void EngineApi::handleCompletion(const HttpRequest& request, HttpExchange& exchange, bool isChat)
{
    auto body = nlohmann::json::parse(request.body.text(), nullptr, false);
    std::string prompt;
    int64_t maxTokens = 0;
    try {
        prompt = promptOf(body);
        maxTokens = body.value("max_tokens", int64_t { 0 });
    } catch (const nlohmann::json::exception&) {
        sendJson(exchange, 400, errorBody("bad_request"));
        return;
    }
    std::string id(request.header("X-Request-Id"));
    if (id.empty())
        id = absl::StrCat("unnamed-", ++unnamedRequests_);
    std::string fencingToken(request.header("X-Fencing-Token"));
    if (faults_.take(FaultMode::Refuse)) {
        engine_.addRefused(id, prompt, StreamState::Refused, fencingToken);
        exchange.send(503, { { "Content-Type", "application/json" }, { "X-Not-Run", "1" } }, errorBody("refused"));
        return;
    }
    if (isFenced(request)) {
        engine_.addRefused(id, prompt, StreamState::Fenced, fencingToken);
        sendJson(exchange, 409, errorBody("old_fencing_token"));
        return;
    }
    auto stream = engine_.add(id, prompt, maxTokens);
    stream->isChat = isChat;
    stream->model = body.value("model", std::string());
    stream->fencingToken = fencingToken;
    stream->isDeadly = faults_.crashesOn(prompt);
    if (body.value("stream", false))
        sendEvents(*stream, 1, exchange);
    else
        sendWhole(*stream, exchange);
}

void EngineApi::handleStream(const HttpRequest& request, HttpExchange& exchange)
{
    auto stream = engine_.find(request.path.substr(streamsPath.size()));
    if (!stream) {
        sendJson(exchange, 404, errorBody("unknown_stream"));
        return;
    }
    if (request.method == "DELETE") {
        engine_.end(*stream, StreamState::Cancelled);
        sendJson(exchange, 200, "{}");
        return;
    }
    if (stream->state == StreamState::Cancelled || stream->state == StreamState::Abandoned) {
        sendJson(exchange, 410, errorBody("stream_ended"));
        return;
    }
    sendEvents(*stream, static_cast<int64_t>(numberOf(request.header("Last-Event-ID"))) + 1, exchange);
}

void EngineApi::crash()
{
    faults_.crash();
    for (const auto& stream : engine_.ledger())
        engine_.end(*stream, StreamState::Abandoned);
}

void EngineApi::sendEvents(EngineStream& stream, int64_t firstEvent, HttpExchange& exchange)
{
    Reader reader(stream);
    if (faults_.take(FaultMode::Late))
        sleepFor(engine_.loop(), faults_.lateness());
    if (!exchange.beginStream(200, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", stream.id } }))
        return;
    int64_t next = firstEvent;
    int64_t sent = 0;
    while (next <= stream.tokensWanted + 2) {
        if (faults_.take(FaultMode::Stall, sent))
            faults_.holdConnection(exchange);
        if (faults_.take(FaultMode::Reset, sent)) {
            exchange.abort();
            return;
        }
        if (next > eventsReady(stream)) {
            if (stream.isOver() || exchange.isCallerDisconnected()) {
                exchange.abort();
                return;
            }
            stream.progressed.waitFor(readerCheckInterval);
            continue;
        }
        if (stream.isDeadly)
            crash();
        if (faults_.isDown()) {
            exchange.abort();
            return;
        }
        if (!exchange.write(eventText(stream, next)))
            return;
        ++next;
        ++sent;
    }
    exchange.endStream();
}

void EngineApi::sendWhole(EngineStream& stream, HttpExchange& exchange)
{
    Reader reader(stream);
    if (faults_.take(FaultMode::Reset)) {
        exchange.abort();
        return;
    }
    while (!stream.isOver()) {
        if (exchange.isCallerDisconnected())
            return;
        if (stream.isDeadly && stream.tokensDone > 0)
            crash();
        stream.progressed.waitFor(readerCheckInterval);
    }
    if (faults_.take(FaultMode::Stall))
        faults_.holdConnection(exchange);
    if (faults_.take(FaultMode::Late))
        sleepFor(engine_.loop(), faults_.lateness());
    if (stream.state != StreamState::Done) {
        exchange.abort();
        return;
    }
    auto json = envelope(stream, false);
    nlohmann::json choice = { { "index", 0 }, { "finish_reason", "stop" } };
    if (stream.isChat)
        choice["message"] = { { "role", "assistant" }, { "content", answerText(stream) } };
    else
        choice["text"] = answerText(stream);
    json["choices"] = nlohmann::json::array({ choice });
    addTotals(json, stream);
    exchange.send(200, { { "Content-Type", "application/json" }, { "X-Request-Id", stream.id } }, json.dump());
}

void EngineApi::answerMetrics(HttpExchange& exchange) const
{
    const auto& load = engine_.load();
    auto text = absl::StrCat(
        "# TYPE engine_requests_running gauge\nengine_requests_running ", load.running,
        "\n# TYPE engine_requests_waiting gauge\nengine_requests_waiting ", load.waiting,
        "\n# TYPE engine_cache_usage gauge\nengine_cache_usage ", load.cacheUsage, "\n");
    exchange.send(200, { { "Content-Type", "text/plain; version=0.0.4" } }, text);
}

void EngineApi::answerLedger(HttpExchange& exchange) const
{
    auto requests = nlohmann::json::array();
    for (const auto& stream : engine_.ledger()) {
        requests.push_back({ { "id", stream->id }, { "prompt", absl::StrCat(absl::Hex(stream->promptHash, absl::kZeroPad16)) },
            { "state", stateNames[static_cast<size_t>(stream->state)] }, { "tokens", stream->tokensDone },
            { "prompt_tokens", stream->promptTokens }, { "cached_tokens", stream->cachedTokens },
            { "fencing_token", stream->fencingToken }, { "deadly", stream->isDeadly }, { "arrived_ms", toMs(stream->arrivedAt.time_since_epoch()) } });
    }
    sendJson(exchange, 200, nlohmann::json { { "requests", requests } }.dump());
}

}
