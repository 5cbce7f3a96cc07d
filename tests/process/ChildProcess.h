#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace briarhitch {

/** A process started by a test; killed by its id when the object goes. */
class ChildProcess {
public:
    /** Output goes to the log file; `environment` adds "NAME=VALUE" texts. */
    ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath, const std::vector<std::string>& environment = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;
    /** SIGKILL, and waits for the end. */
    void kill();
    /** Exit code; none if it still runs after the bound, negative if a signal ended it. */
    std::optional<int> waitExit(std::chrono::milliseconds bound);
    [[nodiscard]] pid_t pid() const { return pid_; }
    [[nodiscard]] bool isRunning();
    [[nodiscard]] std::string log() const;

private:
    pid_t pid_ { 0 };
    std::optional<int> exitCode_;
    std::string logPath_;
};

}
