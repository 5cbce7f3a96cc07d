#pragma once

#include "briarhitch/http/HttpServer.h"

#include <functional>
#include <memory>

namespace briarhitch {

/** What the hook that runs when the caller leaves may touch; it can outlive the request. */
struct CallerWatch {
    bool isGone { false };
    std::function<void()> onGone;

    static std::shared_ptr<CallerWatch> of(HttpExchange& exchange)
    {
        auto watch = std::make_shared<CallerWatch>();
        exchange.onCallerDisconnected([watch] {
            watch->isGone = true;
            if (watch->onGone)
                watch->onGone();
        });
        return watch;
    }
};

}
