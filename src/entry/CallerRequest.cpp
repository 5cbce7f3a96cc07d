#include "briarhitch/entry/CallerRequest.h"

#include "briarhitch/core/Digest.h"

#include <absl/strings/ascii.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace briarhitch {

namespace {

    using Json = nlohmann::json;

    constexpr size_t prefixBlockBytes = 256;
    /** 32 KiB of prompt; longer common prefixes change no scheduling decision. */
    constexpr size_t maxPrefixBlocks = 128;
    constexpr int64_t bytesPerToken = 4;
    constexpr int64_t tokensPerImage = 512;
    constexpr int64_t defaultMaxTokens = 512;
    constexpr int64_t maxTokensLimit = 1'000'000;
    constexpr int64_t maxChoices = 16;
    constexpr int64_t maxShortResponseTokens = 64;
    constexpr int64_t maxMediumResponseTokens = 512;
    constexpr size_t maxIdempotencyKeyBytes = 256;
    constexpr size_t maxNameBytes = 128;
    /** No valid request is nested as deeply; bounds the parser's memory. */
    constexpr int maxJsonDepth = 64;
    constexpr std::string_view servicesPrefix = "/services/";

    /** Hop-by-hop headers, and those that are meant for this system only. */
    constexpr std::array<std::string_view, 14> droppedHeaders { "authorization", "connection", "content-length", "cookie", "expect",
        "host", "keep-alive", "last-event-id", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade",
        "proxy-connection" };

    bool isForwarded(const std::string& name)
    {
        auto lower = absl::AsciiStrToLower(name);
        bool isDropped = std::find(droppedHeaders.begin(), droppedHeaders.end(), lower) != droppedHeaders.end();
        // The entry sets its own X-Request-Id and X-Fencing-Token; the API's other X- headers are not forwarded.
        bool isOwn = lower == "x-request-id" || lower == "x-fencing-token" || lower == "x-deadline-ms" || lower == "x-tier";
        return !isDropped && !isOwn;
    }

    HttpHeaders forwardedHeaders(const HttpHeaders& headers)
    {
        HttpHeaders result;
        std::copy_if(headers.begin(), headers.end(), std::back_inserter(result), [](const auto& header) { return isForwarded(header.first); });
        return result;
    }

    std::optional<uint32_t> readNumber(std::string_view text)
    {
        uint32_t number = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    Result<Tier> readTier(const HttpRequest& http, const Contract& contract)
    {
        auto text = http.header("X-Tier");
        if (text.empty())
            return contract.tier;
        auto value = readNumber(text);
        if (!value || *value >= Tier::count)
            return fail(ErrorKind::BadRequest, "X-Tier must be a number from 0 to 3");
        // The contract sets the most urgent tier; a caller may only lower the urgency.
        return std::max(contract.tier, Tier(static_cast<uint8_t>(*value)));
    }

    Result<Duration> readDeadline(const HttpRequest& http, const CallerDefaults& defaults)
    {
        auto text = http.header("X-Deadline-Ms");
        if (text.empty())
            return defaults.deadline;
        auto value = readNumber(text);
        if (!value || *value == 0)
            return fail(ErrorKind::BadRequest, "X-Deadline-Ms must be a positive number of milliseconds");
        return std::min<Duration>(std::chrono::milliseconds(*value), defaults.maxDeadline);
    }

    /** Fills the fields common to model and service requests; target, method and body must be set. */
    Result<void> fillCommon(CallerRequest& request, const HttpRequest& http, const Contract& contract, const CallerDefaults& defaults)
    {
        auto tier = readTier(http, contract);
        if (!tier)
            return tl::unexpected(tier.error());
        auto deadline = readDeadline(http, defaults);
        if (!deadline)
            return tl::unexpected(deadline.error());
        auto key = http.header("Idempotency-Key");
        if (key.size() > maxIdempotencyKeyBytes)
            return fail(ErrorKind::BadRequest, "Idempotency-Key is longer than 256 bytes");
        request.tier = *tier;
        request.deadline = *deadline;
        request.isKeyFromCaller = !key.empty();
        // The prefixes keep callers' keys distinct from derived ones.
        request.idempotencyKey = key.empty() ? "r:" + toString(request.id) : "c:" + std::string(key);
        request.customer = contract.customer;
        request.headers = forwardedHeaders(http.headers);
        request.digest = stableHash(request.body.text(), stableHash(request.target, stableHash(request.method + " " + request.serves)));
        auto path = request.target.substr(0, request.target.find('?'));
        request.isIdempotent = isIdempotent(contract, request.idempotencyRuleService(), request.method, path);
        request.kind = workKindOf(request.workKindName);
        return {};
    }

    /** Throws std::invalid_argument on a field of the wrong type or range. */
    int64_t readInteger(const Json& body, const char* name, int64_t minimum, int64_t maximum, int64_t fallback)
    {
        auto it = body.find(name);
        if (it == body.end() || it->is_null())
            return fallback;
        bool isInRange = it->is_number_integer() && !(it->is_number_unsigned() && it->get<uint64_t>() > static_cast<uint64_t>(maximum));
        if (!isInRange || it->get<int64_t>() < minimum || it->get<int64_t>() > maximum)
            throw std::invalid_argument(std::string(name) + " must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
        return it->get<int64_t>();
    }

    struct Prompt {
        std::string text;
        int64_t images { 0 };
    };

    void addContent(Prompt& prompt, const Json& content)
    {
        if (content.is_string()) {
            prompt.text += content.get_ref<const std::string&>();
            return;
        }
        if (content.is_null())
            return;
        if (!content.is_array())
            throw std::invalid_argument("content must be a string or an array of parts");
        for (const auto& part : content) {
            if (!part.is_object())
                throw std::invalid_argument("a part of content must be an object");
            auto text = part.find("text");
            if (text != part.end() && text->is_string())
                prompt.text += text->get_ref<const std::string&>();
            else
                ++prompt.images;
        }
    }

    Prompt readMessages(const Json& body)
    {
        auto messages = body.find("messages");
        if (messages == body.end() || !messages->is_array() || messages->empty())
            throw std::invalid_argument("messages must be an array with at least one message");
        Prompt prompt;
        for (const auto& message : *messages) {
            if (!message.is_object())
                throw std::invalid_argument("a message must be an object");
            auto role = message.find("role");
            if (role == message.end() || !role->is_string())
                throw std::invalid_argument("a message needs a role");
            prompt.text += role->get_ref<const std::string&>() + "\n";
            if (auto content = message.find("content"); content != message.end())
                addContent(prompt, *content);
            prompt.text += "\n";
        }
        return prompt;
    }

    Prompt readPrompt(const Json& body)
    {
        auto it = body.find("prompt");
        if (it == body.end() || !it->is_string())
            throw std::invalid_argument("prompt must be a string");
        return { it->get<std::string>(), 0 };
    }

    std::string readModel(const Json& body)
    {
        auto it = body.find("model");
        if (it == body.end() || !it->is_string() || it->get_ref<const std::string&>().empty() || it->get_ref<const std::string&>().size() > maxNameBytes)
            throw std::invalid_argument("model must be a string of 1 to 128 characters");
        return it->get<std::string>();
    }

    bool readStream(const Json& body)
    {
        auto it = body.find("stream");
        if (it == body.end() || it->is_null())
            return false;
        if (!it->is_boolean())
            throw std::invalid_argument("stream must be true or false");
        return it->get<bool>();
    }

    /** Each hash covers all text before it, so that equal blocks at different positions have different hashes. */
    std::vector<uint32_t> prefixHashes(std::string_view text)
    {
        std::vector<uint32_t> hashes;
        uint64_t hash = 0;
        for (size_t start = 0; start + prefixBlockBytes <= text.size() && hashes.size() < maxPrefixBlocks; start += prefixBlockBytes) {
            hash = stableHash(text.substr(start, prefixBlockBytes), hash);
            hashes.push_back(static_cast<uint32_t>(hash));
        }
        return hashes;
    }

    std::string_view sizeClassOf(int64_t outputTokens)
    {
        if (outputTokens <= maxShortResponseTokens)
            return "short";
        return outputTokens <= maxMediumResponseTokens ? "medium" : "long";
    }

    Json parseBody(const std::string& text)
    {
        auto checkDepth = [](int depth, Json::parse_event_t, Json&) {
            if (depth > maxJsonDepth)
                throw std::invalid_argument("body is nested too deeply");
            return true;
        };
        return Json::parse(text, checkDepth);
    }

    void readModelFields(CallerRequest& request, bool isChat)
    {
        Json body = parseBody(request.body.text());
        if (!body.is_object())
            throw std::invalid_argument("body must be a JSON object");
        request.serves = readModel(body);
        request.isStream = readStream(body);
        auto prompt = isChat ? readMessages(body) : readPrompt(body);
        auto limit = readInteger(body, "max_tokens", 1, maxTokensLimit, defaultMaxTokens);
        limit = readInteger(body, "max_completion_tokens", 1, maxTokensLimit, limit);
        limit *= readInteger(body, "n", 1, maxChoices, 1);
        request.maxOutputTokens = Tokens(limit);
        auto promptTokens = static_cast<int64_t>(prompt.text.size()) / bytesPerToken + prompt.images * tokensPerImage;
        request.promptTokens = Tokens(std::max<int64_t>(1, promptTokens));
        request.prefix = prefixHashes(prompt.text);
        request.workKindName = request.serves + (isChat ? "/chat/" : "/completions/") + std::string(sizeClassOf(limit));
    }

}

WorkKindId workKindOf(const std::string& name)
{
    auto hash = static_cast<uint32_t>(stableHash(name));
    // Zero means "none".
    return WorkKindId(hash == 0 ? 1 : hash);
}

Result<CallerRequest> parseModelRequest(const HttpRequest& http, const Contract& contract, RequestId id, const CallerDefaults& defaults)
{
    CallerRequest request;
    request.id = id;
    request.poolKind = PoolKind::Model;
    request.method = http.method;
    request.target = http.path;
    request.body = http.body;
    try {
        readModelFields(request, http.path == "/v1/chat/completions");
    } catch (const Json::exception&) {
        // The JSON library's message may quote the body, which holds the prompt.
        return fail(ErrorKind::BadRequest, "body is not valid JSON");
    } catch (const std::invalid_argument& error) {
        return fail(ErrorKind::BadRequest, error.what());
    }
    if (!isModelAllowed(contract, request.serves))
        return fail(ErrorKind::ModelNotAllowed, "the contract does not include this model");
    auto filled = fillCommon(request, http, contract, defaults);
    if (!filled)
        return tl::unexpected(filled.error());
    return request;
}

Result<CallerRequest> parseServiceRequest(const HttpRequest& http, const Contract& contract, RequestId id, const CallerDefaults& defaults)
{
    if (!http.path.starts_with(servicesPrefix))
        return fail(ErrorKind::NotFound, "no such path");
    auto rest = http.path.substr(servicesPrefix.size());
    auto slash = rest.find('/');
    CallerRequest request;
    request.id = id;
    request.poolKind = PoolKind::Service;
    request.serves = rest.substr(0, slash);
    if (request.serves.empty() || request.serves.size() > maxNameBytes)
        return fail(ErrorKind::NotFound, "the path has no service name");
    request.method = http.method;
    request.target = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!http.query.empty())
        request.target += "?" + http.query;
    request.body = http.body;
    request.workKindName = "service/" + request.serves + "/" + request.method;
    // A service call counts as one token plus the size of its body, so that fair shares apply to services too.
    request.promptTokens = Tokens(1 + static_cast<int64_t>(http.body.size()) / bytesPerToken);
    auto filled = fillCommon(request, http, contract, defaults);
    if (!filled)
        return tl::unexpected(filled.error());
    return request;
}

}
