#pragma once

#include <boost/asio/error.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cassert>
#include <memory>
#include <utility>

namespace briarhitch {

/** Suspends one fiber until a handler on the same thread wakes it. */
class FiberWaiter {
public:
    void wait()
    {
        if (woken_)
            return;
        waiting_ = boost::fibers::context::active();
        assert(!waiting_->is_context(boost::fibers::type::main_context));
        waiting_->suspend();
        waiting_ = nullptr;
    }

    /** Only the first call has an effect. */
    void wake()
    {
        if (woken_)
            return;
        woken_ = true;
        if (waiting_)
            boost::fibers::context::active()->schedule(waiting_);
    }

private:
    bool woken_ { false };
    boost::fibers::context* waiting_ { nullptr };
};

struct IoResult {
    boost::system::error_code error;
    size_t count { 0 };
};

/**
 * Starts an asynchronous operation and suspends the calling fiber until it completes.
 * `start` receives the completion handler, (error_code) or (error_code, size_t).
 */
template <class Start>
IoResult awaitIo(Start&& start)
{
    struct State {
        FiberWaiter waiter;
        IoResult result;
    };
    // Shared, because Asio may still reference the handler after this function has returned.
    auto state = std::make_shared<State>();
    std::forward<Start>(start)([state](boost::system::error_code error, size_t count = 0) {
        state->result = { error, count };
        state->waiter.wake();
    });
    state->waiter.wait();
    return state->result;
}

}
