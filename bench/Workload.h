#pragma once

#include "FakeEngine.h"
#include "briarhitch/core/Units.h"

#include <string>
#include <vector>

namespace briarhitch::bench {

/** One kind of work; lengths are drawn log-uniformly. */
struct KindSpec {
    std::string name;
    uint8_t tier;
    /** Part of all requests. */
    double part;
    int64_t leastPrompt;
    int64_t mostPrompt;
    int64_t leastOutput;
    int64_t mostOutput;
    double deadlineSeconds;
};

struct CaseSpec {
    std::string name;
    /** Offered work as a part of what the fleet can do. */
    double load { 0.7 };
    /** This kind comes that many times as often. */
    std::string floodKind;
    double floodFactor { 1 };
    /** The two large customers ask for this many times their usual part. */
    double largeFactor { 1 };
    /** This many engines run at a quarter of their speed for a while. */
    int slowEngines { 0 };
    int lostEngines { 0 };
    /** The settings give this many times the slots that the engines have. */
    uint32_t slotFactor { 1 };
    /** Part of the requests with one of a few long common prefixes. */
    double commonPrefixPart { 0 };
    /** Part of the callers that leave early. */
    double leavingPart { 0 };
    /** Lengths a hundredfold apart within each kind. */
    bool hasWideLengths { false };
    /** How often a refused caller comes back. */
    int comebacks { 0 };
    bool comesInBursts { false };
    /** All kinds of work have the same tier, as if no caller lowered the tier of its contract. */
    bool hasOneTier { false };
};

/** What a run leaves out, to compare with; arrivals of the rest stay the same. */
struct Leave {
    bool flood { false };
    bool largeCustomers { false };
};

struct Arrival {
    double time { 0 };
    uint32_t customer { 0 };
    size_t kind { 0 };
    int64_t promptTokens { 0 };
    int64_t outputTokens { 0 };
    std::vector<uint32_t> prefix;
    /** Seconds after which the caller leaves; beyond any deadline if it stays. */
    double leavesAfter { 1e9 };
};

inline constexpr uint32_t customerCount = 5;
inline constexpr uint32_t largeCustomers = 2;
/** Requests arrive until then. */
inline constexpr double runSeconds = 130;
/**
 * Only arrivals in this interval count. Before it, queues fill up; the load goes on after it for the longest deadline,
 * so that no policy serves the last requests with a fleet that is free of new ones.
 */
inline constexpr double countedFrom = 30;
inline constexpr double countedUntil = 100;
/** Faults begin and end at these times. */
inline constexpr double faultStart = 45;
inline constexpr double faultEnd = 75;

std::vector<std::string> caseNames();
/** Empty name if there is no such case. */
CaseSpec caseByName(const std::string& name);
std::vector<KindSpec> kindsOf(const std::string& deployment, const CaseSpec& spec);
/** Empty if there is no such deployment. */
std::vector<EngineSpec> fleetOf(const std::string& deployment);
/** Requests in each second that the fleet completes at most, for kinds in these parts. */
double measuredCapacity(const std::vector<EngineSpec>& fleet, const std::vector<KindSpec>& kinds);
/** Sorted by time; the same for the same arguments. */
std::vector<Arrival> makeArrivals(const CaseSpec& spec, const std::vector<KindSpec>& kinds, double capacity, const Leave& leave, uint64_t seed);

}
