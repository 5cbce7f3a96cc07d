#pragma once

#include "platform/process/PlatformProcesses.h"

#include "briarhitch/runtime/Loop.h"

#include <functional>
#include <set>
#include <string>

namespace briarhitch::platform {

/** Control processes of one fleet, with their numbers as addresses, without entries and targets; 1 to 3 are the seeds. */
class ControlGroup {
public:
    /** Starts the processes 1 to `count`. */
    explicit ControlGroup(int count);

    void start(int number, bool mayBootstrap);
    void startWithEmptyDisk(int number);
    [[nodiscard]] ChildProcess& process(int number) { return fleet_.at(nameOf(number)); }
    void killAll() { fleet_.killAll(); }

    /** Calls the operator API of a process and follows its redirect; status 0 without a response. */
    HttpResponse call(int number, const std::string& method, const std::string& path, const std::string& body = {});
    /** The process that answers without a redirect; 0 if there is none. */
    int leader();
    /** Numbers of the voters that the leader names; empty without a leader. */
    std::set<int> voters();

    /** Fails the test after a minute. */
    static void waitUntil(const std::string& what, const std::function<bool()>& condition);

private:
    static std::string nameOf(int number) { return "control-" + std::to_string(number); }
    HttpResponse callDirectly(int number, const std::string& path);

    PlatformProcesses fleet_ { BRIARHITCH_BIN_DIR };
    Loop loop_;
    HttpClient client_ { loop_ };
    /** Numbers of all processes that were ever started. */
    std::set<int> numbers_;
};

}
