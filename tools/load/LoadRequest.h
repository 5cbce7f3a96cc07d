#pragma once

#include "briarhitch/http/HttpClient.h"
#include "load/LoadPlan.h"

#include <nlohmann/json_fwd.hpp>

namespace briarhitch {

/** One generated request. */
struct LoadRequest {
    LoadKind kind { LoadKind::Whole };
    size_t customer { 0 };
    /** Unique text: the prompt, or the id of a charge or lookup. */
    std::string content;
    /** Entry that gets the first sending. */
    size_t entry { 0 };

    [[nodiscard]] bool isModelWork() const { return kind <= LoadKind::Tag; }
};

enum class LoadVerdict : uint8_t {
    /** Whole and its own. */
    Right,
    /** Whole by its form, but not the answer to this request. */
    Wrong,
    /** An error with its kind and whether the request ran. */
    Refused,
    /** The connection failed before the answer was whole. */
    Broken,
    /** No byte of the request can have reached the entry. */
    Unreachable,
};

struct LoadOutcome {
    LoadVerdict verdict { LoadVerdict::Broken };
    /** Kind of the error; empty unless refused. */
    std::string errorKind;
    /** "no", "unknown" or "yes"; empty unless refused. */
    std::string ran;
    /** Only for streams. */
    Duration firstToken { 0 };
    Duration total { 0 };
};

/** Draws the request with this number. */
LoadRequest drawRequest(const LoadPlan& plan, uint64_t number, Random& random);
/** Sends the request through one entry and judges the answer; blocks the fiber. */
LoadOutcome sendRequest(HttpClient& client, const LoadPlan& plan, const LoadRequest& request, size_t entry);
/** The request as the target's ledger shows it: the prompt's checksum, or the id. */
std::string ledgerName(const LoadRequest& request);

}
