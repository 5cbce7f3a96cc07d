#pragma once

#include "briarhitch/http/HttpClient.h"
#include "ctl/CtlOptions.h"

#include <string>

namespace briarhitch {

class Loop;

/** Sends requests to the voters' operators' API, following the leader. */
class CtlClient {
public:
    CtlClient(Loop& loop, const CtlOptions& options);

    /**
     * Tries one voter after the other until one answers as the leader or the time runs out. A change may be
     * sent more than once; its change id makes that harmless. Unavailable if no voter answered.
     */
    Result<HttpResponse> send(const std::string& method, const std::string& target, const std::string& body = {});
    /** One request to a given HOST:PORT. */
    Result<HttpResponse> sendTo(const std::string& address, const std::string& method, const std::string& target, const std::string& body);

private:
    Result<HttpResponse> followLeader(std::string address, const std::string& method, const std::string& target, const std::string& body);

    Loop& loop_;
    const CtlOptions& options_;
    HttpClient client_;
    /** Voter that answered last; it is asked first. */
    std::string lastAnswered_;
};

}
