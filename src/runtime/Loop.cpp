#include "briarhitch/runtime/Loop.h"

#include "runtime/FiberWaiter.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>
#include <boost/fiber/scheduler.hpp>
#include <cstdlib>
#include <log4cplus/logger.h>
#include <vector>

namespace briarhitch {

namespace {

    // Beast's parsers and msgpack's visitors need a few tens of KiB; untouched pages take no memory.
    constexpr size_t fiberStackBytes = 256 * 1024;

    size_t& readyFiberCount()
    {
        thread_local size_t count = 0;
        return count;
    }

    bool isWorkerFiber(const boost::fibers::context* context)
    {
        return !context->is_context(boost::fibers::type::dispatcher_context)
            && !context->is_context(boost::fibers::type::main_context);
    }

    /** Round-robin scheduler that counts the ready fibers, so that the loop knows when it may block for events. */
    class CountingRoundRobin : public boost::fibers::algo::algorithm {
    public:
        void awakened(boost::fibers::context* context) noexcept override
        {
            context->ready_link(queue_);
            if (isWorkerFiber(context))
                ++readyFiberCount();
        }

        boost::fibers::context* pick_next() noexcept override // NOLINT(readability-identifier-naming)
        {
            if (queue_.empty())
                return nullptr;
            boost::fibers::context* next = &queue_.front();
            queue_.pop_front();
            if (isWorkerFiber(next))
                --readyFiberCount();
            return next;
        }

        bool has_ready_fibers() const noexcept override { return !queue_.empty(); } // NOLINT(readability-identifier-naming)

        // The main fiber never blocks on a fiber primitive, so it is always ready and there is nothing to suspend.
        void suspend_until(const std::chrono::steady_clock::time_point&) noexcept override { } // NOLINT(readability-identifier-naming)
        void notify() noexcept override { }

    private:
        boost::fibers::scheduler::ready_queue_type queue_;
    };

}

struct Loop::Impl {
    boost::asio::io_context io { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work { io.get_executor() };
    std::vector<std::unique_ptr<boost::asio::signal_set>> signals;
    bool stopped { false };
    size_t fibers { 0 };
};

Loop::Loop()
    : impl_(std::make_unique<Impl>())
{
    thread_local bool installed = false;
    if (!installed) {
        boost::fibers::use_scheduling_algorithm<CountingRoundRobin>();
        installed = true;
    }
}

Loop::~Loop() = default;

void Loop::run()
{
    impl_->stopped = false;
    while (!impl_->stopped) {
        if (readyFiberCount() > 0) {
            boost::this_fiber::yield();
            impl_->io.poll();
        } else {
            impl_->io.run_one();
        }
    }
}

void Loop::stop()
{
    impl_->stopped = true;
    // Wakes run_one() if the call came from outside a handler.
    boost::asio::post(impl_->io, [] {});
}

void Loop::spawn(std::function<void()> body)
{
    ++impl_->fibers;
    boost::fibers::fiber(std::allocator_arg, boost::fibers::protected_fixedsize_stack(fiberStackBytes),
        [this, body = std::move(body)] {
            body();
            --impl_->fibers;
        })
        .detach();
}

void Loop::after(Duration delay, std::function<void()> hook)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(impl_->io, std::chrono::duration_cast<std::chrono::steady_clock::duration>(delay));
    timer->async_wait([timer, hook = std::move(hook)](boost::system::error_code error) {
        if (!error)
            hook();
    });
}

void Loop::onSignal(int signalNumber, std::function<void()> hook)
{
    auto set = std::make_unique<boost::asio::signal_set>(impl_->io, signalNumber);
    auto* signals = set.get();
    impl_->signals.push_back(std::move(set));
    spawn([signals, hook = std::move(hook)] {
        for (;;) {
            auto result = awaitIo([&](auto handler) {
                signals->async_wait([handler](boost::system::error_code error, int) mutable { handler(error); });
            });
            if (result.error)
                return;
            hook();
        }
    });
}

boost::asio::io_context& Loop::context()
{
    return impl_->io;
}

size_t Loop::fiberCount() const
{
    return impl_->fibers;
}

void sleepFor(Loop& loop, Duration duration)
{
    FiberWaiter waiter;
    loop.after(duration, [&waiter] { waiter.wake(); });
    waiter.wait();
}

void exitProcess(int code)
{
    log4cplus::Logger::shutdown();
    std::_Exit(code);
}

}
