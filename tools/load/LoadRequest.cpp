#include "load/LoadRequest.h"

#include "support/ExpectedAnswer.h"

#include <absl/strings/str_cat.h>
#include <cmath>
#include <nlohmann/json.hpp>

namespace briarhitch {

namespace {

    constexpr int64_t bytesPerToken = 4;
    // Customers repeat a system prompt; it is what the engines' prefix caches can find again.
    constexpr int64_t commonPrefixBytes = 1024;

    std::string promptFor(const LoadPlan& plan, size_t customer, uint64_t number, Random& random)
    {
        auto longest = static_cast<double>(plan.longestPrompt);
        auto shortest = static_cast<double>(plan.shortestPrompt);
        auto tokens = std::min(longest, shortest * std::pow(longest / shortest, random.unit()));
        auto bytes = static_cast<size_t>(tokens) * bytesPerToken;
        std::string prompt;
        while (prompt.size() < commonPrefixBytes && prompt.size() < bytes / 2)
            absl::StrAppend(&prompt, "Customer ", customer, " rule ", prompt.size(), ". ");
        absl::StrAppend(&prompt, "Request ", plan.seed, "-", number, ". ");
        while (prompt.size() < bytes)
            absl::StrAppend(&prompt, absl::Hex(random.next() & 0xffffff), " ");
        return prompt;
    }

    nlohmann::json modelBody(const LoadPlan& plan, const LoadRequest& request)
    {
        return { { "model", plan.model }, { "max_tokens", plan.maxTokens }, { "stream", request.kind == LoadKind::Stream },
            { "messages", nlohmann::json::array({ { { "role", "user" }, { "content", request.content } } }) } };
    }

    HttpCallSettings callFor(const LoadPlan& plan, const LoadRequest& request, size_t entry)
    {
        HttpCallSettings call;
        call.host = plan.entries[entry].host;
        call.port = plan.entries[entry].port;
        call.headerTimeout = plan.timeout;
        call.headers = { { "Authorization", "Bearer " + plan.customers[request.customer].key },
            { "X-Deadline-Ms", absl::StrCat(toMs(plan.deadline)) } };
        if (request.kind == LoadKind::Status) {
            call.target = absl::StrCat("/services/", plan.service, "/status/", request.content);
            return call;
        }
        call.method = "POST";
        call.headers.emplace_back("Content-Type", "application/json");
        if (request.kind == LoadKind::Charge) {
            call.target = absl::StrCat("/services/", plan.service, "/charges");
            call.headers.emplace_back("Idempotency-Key", request.content);
            call.body = nlohmann::json { { "charge_id", request.content }, { "amount", 100 } }.dump();
            // A charge whose connection turns out to be closed must not be sent twice by the client itself.
            call.isReuseAllowed = false;
            return call;
        }
        call.target = "/v1/chat/completions";
        call.body = modelBody(plan, request).dump();
        if (request.kind == LoadKind::Tag)
            call.headers.emplace_back("X-Tier", absl::StrCat(Tier::count - 1));
        return call;
    }

    void readError(const nlohmann::json& body, LoadOutcome& outcome)
    {
        outcome.verdict = LoadVerdict::Refused;
        outcome.errorKind = "no_error_body";
        outcome.ran = "unknown";
        if (!body.is_object() || !body.contains("error") || !body["error"].is_object())
            return;
        outcome.errorKind = body["error"].value("kind", std::string("no_kind"));
        outcome.ran = body["error"].value("ran", std::string("unknown"));
    }

    std::string expectedText(const LoadPlan& plan, const LoadRequest& request)
    {
        return expectedAnswer(promptOf(modelBody(plan, request)), plan.maxTokens);
    }

    LoadVerdict judgeWhole(const LoadPlan& plan, const LoadRequest& request, const nlohmann::json& body)
    {
        bool isRight = false;
        if (!body.is_object())
            isRight = false;
        else if (request.isModelWork())
            isRight = body.contains("choices") && body["choices"].is_array() && !body["choices"].empty()
                && body["choices"][0]["message"].value("content", std::string()) == expectedText(plan, request);
        else
            isRight = body.value(request.kind == LoadKind::Charge ? "charge_id" : "id", std::string()) == request.content
                && body.value("checksum", std::string()) == checksumOf(request.content);
        return isRight ? LoadVerdict::Right : LoadVerdict::Wrong;
    }

    /** Collects the events of a stream. */
    struct StreamText {
        std::string pending;
        std::string text;
        int endMarks { 0 };
        nlohmann::json error;

        void add(std::string_view part)
        {
            pending.append(part);
            for (size_t end = pending.find("\n\n"); end != std::string::npos; end = pending.find("\n\n")) {
                addEvent(pending.substr(0, end));
                pending.erase(0, end + 2);
            }
        }

        void addEvent(const std::string& event)
        {
            auto start = event.find("data: ");
            if (start == std::string::npos)
                return;
            auto data = event.substr(start + std::string_view("data: ").size());
            if (data == "[DONE]") {
                ++endMarks;
                return;
            }
            auto json = nlohmann::json::parse(data, nullptr, false);
            if (json.is_object() && json.contains("error"))
                error = json;
            else if (json.is_object() && json.contains("choices"))
                text += json["choices"][0]["delta"].value("content", std::string());
        }
    };

    void readStream(HttpCall& call, const LoadPlan& plan, const LoadRequest& request, Instant started, LoadOutcome& outcome)
    {
        StreamText stream;
        for (;;) {
            auto part = call.read(plan.timeout);
            if (!part)
                return;
            if (!*part)
                break;
            stream.add(**part);
            if (outcome.firstToken == Duration(0) && !stream.text.empty())
                outcome.firstToken = BootClock::now() - started;
        }
        if (!stream.error.is_null())
            readError(stream.error, outcome);
        else
            outcome.verdict = stream.endMarks == 1 && stream.text == expectedText(plan, request) ? LoadVerdict::Right : LoadVerdict::Wrong;
    }

    void readAnswer(HttpCall& call, const LoadPlan& plan, const LoadRequest& request, Instant started, LoadOutcome& outcome)
    {
        if (call.status() < 300 && request.kind == LoadKind::Stream) {
            readStream(call, plan, request, started, outcome);
            return;
        }
        auto body = call.readAll(plan.timeout);
        if (!body)
            return;
        auto json = nlohmann::json::parse(*body, nullptr, false);
        if (call.status() < 300)
            outcome.verdict = judgeWhole(plan, request, json);
        else
            readError(json, outcome);
    }

}

LoadRequest drawRequest(const LoadPlan& plan, uint64_t number, Random& random)
{
    std::vector<double> weights;
    for (const auto& customer : plan.customers)
        weights.push_back(customer.weight);
    LoadRequest request;
    request.customer = pickWeighted(weights, random);
    const auto& mix = plan.customers[request.customer].mix;
    request.kind = static_cast<LoadKind>(pickWeighted({ mix.begin(), mix.end() }, random));
    request.entry = random.below(plan.entries.size());
    request.content = request.isModelWork() ? promptFor(plan, request.customer, number, random)
                                            : absl::StrCat(std::string(toString(request.kind)), "-", plan.seed, "-", number);
    return request;
}

LoadOutcome sendRequest(HttpClient& client, const LoadPlan& plan, const LoadRequest& request, size_t entry)
{
    LoadOutcome outcome;
    auto started = BootClock::now();
    try {
        auto call = client.start(callFor(plan, request, entry));
        if (call)
            readAnswer(**call, plan, request, started, outcome);
        else if (call.error().ran == Ran::No)
            outcome.verdict = LoadVerdict::Unreachable;
    } catch (const nlohmann::json::exception&) {
        // A field of another type than the API has.
        outcome.verdict = LoadVerdict::Wrong;
    }
    outcome.total = BootClock::now() - started;
    return outcome;
}

std::string ledgerName(const LoadRequest& request)
{
    if (!request.isModelWork())
        return request.content;
    return checksumOf(absl::StrCat("user: ", request.content, "\n"));
}

}
