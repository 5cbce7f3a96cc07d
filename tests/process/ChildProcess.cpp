#include "process/ChildProcess.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace briarhitch {

namespace {

    constexpr int pollMs = 5;

    [[noreturn]] void runProgram(std::vector<char*> argv, const std::string& logPath, pid_t parent)
    {
        // A test process that is killed itself must not leave daemons behind.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(126);
        int log = open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        execv(argv[0], argv.data());
        _exit(127);
    }

}

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& logPath, const std::vector<std::string>& environment)
    : logPath_(logPath)
{
    std::vector<char*> argv { const_cast<char*>(program.c_str()) };
    for (const auto& argument : arguments)
        argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    auto parent = getpid();
    pid_ = fork();
    if (pid_ != 0)
        return;
    for (const auto& variable : environment)
        putenv(const_cast<char*>(variable.c_str()));
    runProgram(argv, logPath_, parent);
}

ChildProcess::~ChildProcess()
{
    kill();
}

void ChildProcess::signal(int number) const
{
    if (pid_ > 0 && !exitCode_)
        ::kill(pid_, number);
}

void ChildProcess::kill()
{
    if (pid_ <= 0 || exitCode_)
        return;
    ::kill(pid_, SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
    exitCode_ = -SIGKILL;
}

std::optional<int> ChildProcess::waitExit(std::chrono::milliseconds bound)
{
    auto end = std::chrono::steady_clock::now() + bound;
    while (isRunning()) {
        if (std::chrono::steady_clock::now() > end)
            return std::nullopt;
        poll(nullptr, 0, pollMs);
    }
    return exitCode_;
}

bool ChildProcess::isRunning()
{
    int status = 0;
    if (!exitCode_ && waitpid(pid_, &status, WNOHANG) == pid_)
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    return !exitCode_;
}

std::string ChildProcess::log() const
{
    std::ifstream file(logPath_);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

}
