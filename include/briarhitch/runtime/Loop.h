#pragma once

#include "briarhitch/core/Clock.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace briarhitch {

/** The event loop of a process: socket events and fibers on one thread. */
class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /** Runs until stop(); called on the thread that created the loop. */
    void run();
    void stop();
    /** Starts a fiber; the body may block with sleepFor(), FiberEvent and the calls built on them. */
    void spawn(std::function<void()> body);
    /** Runs a hook after a delay, outside any fiber; it must not block. */
    void after(Duration delay, std::function<void()> hook);
    /** Calls the hook in a fiber each time the signal arrives. */
    void onSignal(int signalNumber, std::function<void()> hook);

    boost::asio::io_context& context();
    /** Fibers that have started and not ended. */
    [[nodiscard]] size_t fiberCount() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Suspends the calling fiber. */
void sleepFor(Loop& loop, Duration duration);

/** Ends the process at once after flushing the logs; waiting fibers are not unwound. */
[[noreturn]] void exitProcess(int code);

}
