#include "ctl/CtlCommands.h"

#include "briarhitch/core/Random.h"
#include "ctl/CtlPrinter.h"
#include "ctl/LogExplainer.h"

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace briarhitch {

namespace {

    constexpr int statusGood = 200;
    constexpr int statusNotFound = 404;

    CtlExit wrongUsage(const std::string& text)
    {
        std::cerr << "briarhitch-ctl: " << text << "; see --help\n";
        return CtlExit::WrongUsage;
    }

    std::string makeChangeId()
    {
        char text[32];
        std::snprintf(text, sizeof(text), "ctl-%016llx", static_cast<unsigned long long>(systemSeed()));
        return text;
    }

    Result<Json> readJson(const std::string& path)
    {
        std::stringstream text;
        if (path == "-") {
            text << std::cin.rdbuf();
        } else {
            std::ifstream stream(path);
            if (!stream)
                return fail(ErrorKind::InvalidSettings, path + " cannot be read");
            text << stream.rdbuf();
        }
        try {
            return Json::parse(text.str(), nullptr, true, true);
        } catch (const Json::parse_error& error) {
            return fail(ErrorKind::InvalidSettings, path + " is not valid JSON: " + error.what());
        }
    }

    Json parseAnswer(const std::string& body)
    {
        return Json::parse(body, nullptr, false);
    }

}

CtlCommands::CtlCommands(Loop& loop, const CtlOptions& options)
    : options_(options)
    , client_(loop, options)
{
}

CtlExit CtlCommands::run(const Words& words)
{
    if (words.empty())
        return wrongUsage("no command is given");
    if (words[0] == "explain")
        return explain(words);
    if (options_.servers.empty())
        return wrongUsage("no server is given with --servers or in a --profile file");
    if (words[0] == "customer")
        return customer(words);
    if (words[0] == "target")
        return target(words);
    if (words[0] == "voter")
        return voter(words);
    if (words[0] == "suspect")
        return suspect(words);
    if (words[0] == "rollout")
        return rollout(words);
    if (words[0] == "status" && words.size() == 1)
        return show("/v1/status", statusToText);
    if (words[0] == "change" && words.size() == 3 && words[1] == "show")
        return show("/v1/changes/" + words[2], changeToText);
    return wrongUsage("unknown command " + words[0]);
}

CtlExit CtlCommands::customer(const Words& words)
{
    auto is = [&](const char* verb, size_t count) { return words.size() == count && words[1] == verb; };
    if (is("list", 2))
        return show("/v1/customers", customersToText);
    if (words.size() < 3)
        return wrongUsage("customer needs set|show|wind-down|export and a NAME, or list");
    std::string object = "/v1/customers/" + words[2];
    if (is("show", 3))
        return show(object, customerToText);
    if (is("export", 3))
        return exportCustomer(words[2]);
    if (is("set", 3))
        return changeFromFile(object, "contract");
    if (is("wind-down", 4))
        return change("POST", object + "/wind-down", object, { { "step", words[3] } });
    return wrongUsage("customer wind-down needs NAME and a STEP: no_new_work, drained, exported or erased");
}

CtlExit CtlCommands::target(const Words& words)
{
    auto is = [&](const char* verb, size_t count) { return words.size() == count && words[1] == verb; };
    if (is("list", 2))
        return show("/v1/targets", targetsToText);
    if (words.size() != 3)
        return wrongUsage("target needs add|show|drain|retire and a NAME, or list");
    std::string object = "/v1/targets/" + words[2];
    if (is("show", 3))
        return show(object, targetToText);
    if (is("add", 3))
        return changeFromFile(object, "target");
    if (is("drain", 3) || is("retire", 3))
        return change("POST", object + "/" + words[1], object, Json::object());
    return wrongUsage("unknown command target " + words[1]);
}

CtlExit CtlCommands::voter(const Words& words)
{
    bool isKnown = words.size() == 3 && (words[1] == "add" || words[1] == "remove");
    if (!isKnown)
        return wrongUsage("voter needs add|remove and a node number");
    auto answer = client_.send("POST", "/v1/voters/" + words[2] + "/" + words[1], {});
    return report(answer, [](const Json& json) { return json.dump() + "\n"; });
}

CtlExit CtlCommands::suspect(const Words& words)
{
    if (words.size() == 2 && words[1] == "list")
        return show("/v1/suspects", suspectsToText);
    if (words.size() != 3 || words[1] != "clear")
        return wrongUsage("suspect needs list, or clear and a SUSPECT");
    return report(client_.send("POST", "/v1/suspects/" + words[2] + "/clear", {}), [](const Json& json) { return json.dump() + "\n"; });
}

CtlExit CtlCommands::rollout(const Words& words)
{
    bool isStatus = words.size() >= 2 && words.size() <= 3 && words[1] == "status";
    if (isStatus) {
        auto answer = client_.send("GET", "/v1/rollouts");
        if (words.size() == 3 && answer && answer->status == statusGood)
            answer->body = rolloutsOfService(parseAnswer(answer->body), words[2]).dump();
        return report(answer, rolloutsToText);
    }
    if (words.size() != 4 || words[1] != "start" || options_.durationSeconds <= 0)
        return wrongUsage("rollout needs start SERVICE VERSION --duration_s N, or status and maybe a SERVICE");
    Json body { { "target", words[3] }, { "duration_s", options_.durationSeconds } };
    auto answer = client_.send("POST", "/v1/rollouts/" + words[2], body.dump(-1, ' ', false, Json::error_handler_t::replace));
    if (!answer)
        std::cerr << "the order may have been accepted; send it again, which changes nothing if it was\n";
    return report(answer, [](const Json& json) { return json.dump() + "\n"; });
}

CtlExit CtlCommands::explain(const Words& words)
{
    if (words.size() == 2 && !options_.logs.empty()) {
        auto account = explainFromLogs(words[1], options_.logs);
        (account ? std::cout : std::cerr) << (account ? *account : account.error().message + "\n");
        return account ? CtlExit::Good : CtlExit::Refused;
    }
    if (words.size() != 2 || options_.entry.empty())
        return wrongUsage("explain needs a REQUEST_ID and --entry HOST:PORT or --logs FILE,FILE");
    auto answer = client_.sendTo(options_.entry, "GET", "/debug/requests/" + words[1], {});
    return report(answer, [](const Json& json) { return json.dump(2, ' ', false, Json::error_handler_t::replace) + "\n"; });
}

CtlExit CtlCommands::show(const std::string& path, Printer print)
{
    return report(client_.send("GET", path), print);
}

CtlExit CtlCommands::exportCustomer(const std::string& name)
{
    auto answer = client_.send("GET", "/v1/customers/" + name + "/export");
    if (!answer || answer->status != statusGood)
        return report(answer, nullptr);
    std::cout << answer->body;
    return CtlExit::Good;
}

CtlExit CtlCommands::changeFromFile(const std::string& object, const std::string& field)
{
    if (options_.file.empty())
        return wrongUsage("this command needs --file FILE with the " + field + " in JSON, or --file - for standard input");
    auto json = readJson(options_.file);
    if (!json)
        return wrongUsage(json.error().message);
    return change("PUT", object, object, { { field, *json } });
}

Result<uint64_t> CtlCommands::presentVersion(const std::string& object)
{
    if (options_.expectedVersion)
        return *options_.expectedVersion;
    auto answer = client_.send("GET", object);
    if (!answer)
        return tl::unexpected(answer.error());
    if (answer->status == statusNotFound)
        return 0;
    auto json = parseAnswer(answer->body);
    if (answer->status != statusGood || !json.is_object() || !json.contains("version"))
        return fail(ErrorKind::BadRequest, errorToText(json, answer->status));
    return json.at("version").get<uint64_t>();
}

CtlExit CtlCommands::change(const std::string& method, const std::string& path, const std::string& object, Json body)
{
    auto version = presentVersion(object);
    if (!version) {
        std::cerr << "nothing was sent: " << version.error().message << "\n";
        return version.error().kind == ErrorKind::BadRequest ? CtlExit::Refused : CtlExit::NoAnswer;
    }
    auto id = options_.changeId.empty() ? makeChangeId() : options_.changeId;
    // Printed before the change is sent, so that it is known even if this process is stopped.
    std::cerr << "change id: " << id << "\n";
    body["change_id"] = id;
    body["expected_version"] = *version;
    std::ostringstream query;
    query << "?wait_s=" << options_.waitSeconds;
    auto answer = client_.send(method, path + query.str(), body.dump(-1, ' ', false, Json::error_handler_t::replace));
    if (!answer)
        std::cerr << "the change may have been accepted; send it again with --change_id " << id << "\n";
    auto exit = report(answer, changeToText);
    if (exit != CtlExit::Good)
        return exit;
    auto json = parseAnswer(answer->body);
    return json.value("in_force", false) ? CtlExit::Good : CtlExit::NotInForce;
}

CtlExit CtlCommands::report(const Result<HttpResponse>& answer, Printer print) const
{
    if (!answer) {
        std::cerr << "no answer: " << answer.error().message << "\n";
        return CtlExit::NoAnswer;
    }
    auto json = parseAnswer(answer->body);
    bool isGood = answer->status == statusGood && !json.is_discarded();
    if (options_.isJson)
        std::cout << answer->body << (answer->body.ends_with('\n') ? "" : "\n");
    else if (isGood && print)
        std::cout << print(json);
    if (isGood)
        return CtlExit::Good;
    std::cerr << errorToText(json, answer->status);
    return CtlExit::Refused;
}

}
