#pragma once

#include "briarhitch/core/Random.h"
#include "briarhitch/http/HttpClient.h"
#include "briarhitch/runtime/Loop.h"
#include "process/PlainHttp.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace briarhitch {

/** What a caller was told about one piece of work, over all its tries. */
struct ToldOutcome {
    bool isAnswered { false };
    /** Every try was refused with the word that nothing ran. */
    bool isPromisedNotRun { true };
};

/** Callers that keep their connections open and ask until told to stop; in a thread of their own. */
class SoakTraffic {
public:
    SoakTraffic(uint64_t seed, std::vector<uint16_t> entryPorts);
    ~SoakTraffic();

    /** Lets requests that are under way end. */
    void stop();

    /** Text that is in each request which crashes its target, and in no other. */
    static std::string deadlyText();
    /** A part that deadly prompts have in common. */
    static std::string deadlyPart();
    /** A prompt that is sent again and again, and the id of a call to a service that is. */
    static std::string deadlyPrompt();
    static std::string deadlyCall() { return deadlyText(); }

    // To be read after stop().
    std::map<std::string, ToldOutcome> charges;
    std::map<std::string, ToldOutcome> prompts;
    std::vector<std::string> violations;
    uint64_t asked { 0 };
    uint64_t answered { 0 };

private:
    void runCaller(uint64_t seed);
    void askModel(Random& random, const std::string& name);
    void askDeadly(Random& random);
    void askCharge(Random& random, const std::string& name);
    Result<HttpResponse> send(Random& random, const PlainRequest& request);
    void note(ToldOutcome& told, const Result<HttpResponse>& answer);

    std::vector<uint16_t> ports_;
    uint64_t seed_;
    std::atomic<bool> isStopping_ { false };
    Loop* loop_ { nullptr };
    HttpClient* client_ { nullptr };
    size_t running_ { 0 };
    std::thread thread_;
};

}
