#include "soak/SoakTraffic.h"

#include "process/ProcessFixture.h"

#include <nlohmann/json.hpp>

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t callers = 12;
    constexpr Duration longestAnswer = 8s;
    constexpr uint64_t longestPauseMs = 60;
    constexpr int keyedTries = 5;
    constexpr uint64_t mostTokens = 40;
    constexpr const char* key = "customer key of the tests";

    bool isSuccess(int status) { return status == 200 || status == 201; }

}

SoakTraffic::SoakTraffic(uint64_t seed, std::vector<uint16_t> entryPorts)
    : ports_(std::move(entryPorts))
    , seed_(seed)
{
    thread_ = std::thread([this] {
        Loop loop;
        HttpClient client(loop);
        loop_ = &loop;
        client_ = &client;
        for (size_t i = 0; i < callers; ++i) {
            ++running_;
            loop.spawn([this, i] {
                runCaller(seed_ * callers + i);
                if (--running_ == 0)
                    loop_->stop();
            });
        }
        loop.run();
    });
}

SoakTraffic::~SoakTraffic()
{
    stop();
}

void SoakTraffic::stop()
{
    isStopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

void SoakTraffic::runCaller(uint64_t seed)
{
    Random random(seed);
    for (uint64_t i = 0; !isStopping_; ++i) {
        auto name = std::to_string(seed) + "-" + std::to_string(i);
        if (random.chance(0.5))
            askModel(random, name);
        else
            askCharge(random, name);
        sleepFor(*loop_, std::chrono::milliseconds(random.below(longestPauseMs)));
    }
}

Result<HttpAnswer> SoakTraffic::send(Random& random, const std::string& method, const std::string& path, const std::string& body, HttpHeaders headers)
{
    HttpCallSettings settings;
    settings.host = "127.0.0.1";
    settings.port = ports_.at(random.below(ports_.size()));
    settings.method = method;
    settings.target = path;
    settings.body = body;
    settings.headers = std::move(headers);
    settings.headers.emplace_back("Authorization", std::string("Bearer ") + key);
    settings.headerTimeout = longestAnswer;
    settings.isResendAllowed = false;
    ++asked;
    return fetch(*client_, settings);
}

void SoakTraffic::note(ToldOutcome& told, const Result<HttpAnswer>& answer)
{
    if (answer && isSuccess(answer->status)) {
        told.isAnswered = true;
        told.isPromisedNotRun = false;
        ++answered;
        return;
    }
    bool isPromise = answer && errorField({ answer->status, {}, answer->body, true }, "ran") == "no";
    told.isPromisedNotRun = told.isPromisedNotRun && isPromise;
}

void SoakTraffic::askModel(Random& random, const std::string& name)
{
    auto prompt = "soak " + name;
    auto tokens = static_cast<int>(1 + random.below(mostTokens));
    bool isStream = random.chance(0.5);
    Json body = { { "model", "small" }, { "max_tokens", tokens }, { "stream", isStream }, { "messages", { { { "role", "user" }, { "content", prompt } } } } };
    auto answer = send(random, "POST", "/v1/chat/completions", body.dump(), { { "Content-Type", "application/json" } });
    note(prompts[prompt], answer);
    if (!answer || answer->status != 200)
        return;
    auto text = isStream ? textOfStream(answer->body) : textOfWhole(answer->body);
    bool isError = isStream && answer->body.find("\"error\"") != std::string::npos;
    if (text != expectedChat(prompt, tokens) && !isError)
        violations.push_back("the answer to \"" + prompt + "\" looks complete and is not the engine's: " + answer->body.substr(0, 300));
}

void SoakTraffic::askCharge(Random& random, const std::string& name)
{
    auto& told = charges[name];
    auto body = Json { { "charge_id", name }, { "amount", 100 } }.dump();
    bool isKeyed = random.chance(0.5);
    HttpHeaders headers;
    if (isKeyed)
        headers.emplace_back("Idempotency-Key", name);
    for (int i = 0; i < (isKeyed ? keyedTries : 1) && !told.isAnswered; ++i) {
        note(told, send(random, "POST", "/services/booking/charges", body, headers));
        sleepFor(*loop_, 100ms);
    }
}

}
