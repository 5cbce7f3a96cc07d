#include "soak/SoakTraffic.h"

#include "process/ProcessFixture.h"

namespace briarhitch {

namespace {

    using namespace std::chrono_literals;

    constexpr size_t callers = 12;
    constexpr Duration longestAnswer = 8s;
    constexpr uint64_t longestPauseMs = 60;
    constexpr int keyedTries = 5;
    constexpr uint64_t mostTokens = 40;
    constexpr double deadlyPartFraction = 0.03;
    /** Of all requests; two requests of this kind come again and again. */
    constexpr double deadlyRequestFraction = 0.08;
    constexpr size_t deadlyTextBytes = 64;
    // With the role before it, the first block of each prompt's prefix, and a whole second block.
    constexpr size_t firstBlockBytes = 250;
    constexpr size_t blockBytes = 256;

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
        if (random.chance(deadlyRequestFraction))
            askDeadly(random);
        else if (random.chance(0.5))
            askModel(random, name);
        else
            askCharge(random, name);
        sleepFor(*loop_, std::chrono::milliseconds(random.below(longestPauseMs)));
    }
}

std::string SoakTraffic::deadlyText()
{
    return std::string(deadlyTextBytes, 'd');
}

std::string SoakTraffic::deadlyPart()
{
    return std::string(blockBytes, 'd');
}

std::string SoakTraffic::deadlyPrompt()
{
    return std::string(firstBlockBytes, 'p') + std::string(blockBytes, 's') + "again " + deadlyText();
}

Result<HttpResponse> SoakTraffic::send(Random& random, const PlainRequest& request)
{
    HttpCallSettings settings;
    settings.host = "127.0.0.1";
    settings.port = ports_.at(random.below(ports_.size()));
    settings.method = request.method;
    settings.target = request.path;
    settings.body = request.body;
    settings.headers.assign(request.headers.begin(), request.headers.end());
    settings.headerTimeout = longestAnswer;
    settings.isResendAllowed = false;
    ++asked;
    return fetch(*client_, settings);
}

void SoakTraffic::note(ToldOutcome& told, const Result<HttpResponse>& answer)
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
    auto prompt = std::string(firstBlockBytes, 'p') + (random.chance(deadlyPartFraction) ? deadlyPart() : std::string(blockBytes, 's')) + "soak " + name;
    auto tokens = static_cast<int>(1 + random.below(mostTokens));
    bool isStream = random.chance(0.5);
    auto answer = send(random, ProcessFixture::chat(prompt, tokens, isStream));
    note(prompts[prompt], answer);
    if (!answer || answer->status != 200)
        return;
    auto text = isStream ? textOfStream(answer->body) : textOfWhole(answer->body);
    bool isError = isStream && answer->body.find("\"error\"") != std::string::npos;
    if (text != expectedChat(prompt, tokens) && !isError)
        violations.push_back("the answer to \"" + prompt + "\" looks complete and is not the engine's: " + answer->body.substr(0, 300));
}

void SoakTraffic::askDeadly(Random& random)
{
    constexpr int tokens = 5;
    if (random.chance(0.5))
        (void)send(random, ProcessFixture::chat(deadlyPrompt(), tokens, random.chance(0.5)));
    else
        (void)send(random, ProcessFixture::lookup(deadlyCall()));
}

void SoakTraffic::askCharge(Random& random, const std::string& name)
{
    auto& told = charges[name];
    bool isKeyed = random.chance(0.5);
    auto charge = ProcessFixture::charge(name, isKeyed ? name : "");
    for (int i = 0; i < (isKeyed ? keyedTries : 1) && !told.isAnswered; ++i) {
        note(told, send(random, charge));
        sleepFor(*loop_, 100ms);
    }
}

}
