#pragma once

#include "ctl/CtlClient.h"
#include "ctl/CtlOptions.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace briarhitch {

/** Exit codes, as the usage text lists them. */
enum class CtlExit {
    Good = 0,
    Refused = 1,
    WrongUsage = 2,
    NoAnswer = 3,
    NotInForce = 4,
};

/** The commands of briarhitch-ctl. Results go to standard output, problems to standard error. */
class CtlCommands {
public:
    CtlCommands(Loop& loop, const CtlOptions& options);

    /** Runs in a fiber. */
    CtlExit run(const std::vector<std::string>& words);

private:
    using Words = std::vector<std::string>;
    using Printer = std::string (*)(const nlohmann::ordered_json&);

    CtlExit customer(const Words& words);
    CtlExit target(const Words& words);
    CtlExit voter(const Words& words);
    CtlExit suspect(const Words& words);
    CtlExit rollout(const Words& words);
    CtlExit explain(const Words& words);
    CtlExit show(const std::string& path, Printer print);
    CtlExit exportCustomer(const std::string& name);
    /** Sends a change; `object` is the path that tells the present version. */
    CtlExit change(const std::string& method, const std::string& path, const std::string& object, nlohmann::ordered_json body);
    CtlExit changeFromFile(const std::string& object, const std::string& field);
    Result<uint64_t> presentVersion(const std::string& object);
    CtlExit report(const Result<HttpResponse>& answer, Printer print) const;

    const CtlOptions& options_;
    CtlClient client_;
};

}
