#include "briarhitch/runtime/FiberEvent.h"

#include "briarhitch/runtime/Loop.h"
#include "runtime/FiberWaiter.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace briarhitch {

struct FiberEvent::Waiter {
    FiberWaiter fiber;
    bool signalled { false };
};

FiberEvent::FiberEvent(Loop& loop)
    : loop_(loop)
{
}

FiberEvent::~FiberEvent() = default;

void FiberEvent::set()
{
    set_ = true;
    auto waiters = std::move(waiters_);
    waiters_.clear();
    for (auto& waiter : waiters) {
        waiter->signalled = true;
        waiter->fiber.wake();
    }
}

void FiberEvent::reset()
{
    set_ = false;
}

void FiberEvent::wait()
{
    if (set_)
        return;
    auto waiter = std::make_shared<Waiter>();
    waiters_.push_back(waiter);
    waiter->fiber.wait();
}

bool FiberEvent::waitFor(Duration timeout)
{
    if (set_)
        return true;
    auto waiter = std::make_shared<Waiter>();
    waiters_.push_back(waiter);
    boost::asio::steady_timer timer(loop_.context(), std::chrono::duration_cast<std::chrono::steady_clock::duration>(timeout));
    timer.async_wait([waiter](boost::system::error_code error) {
        if (!error)
            waiter->fiber.wake();
    });
    waiter->fiber.wait();
    removeWaiter(waiter);
    return waiter->signalled;
}

void FiberEvent::removeWaiter(const std::shared_ptr<Waiter>& waiter)
{
    waiters_.erase(std::remove(waiters_.begin(), waiters_.end(), waiter), waiters_.end());
}

}
