#pragma once

#include "briarhitch/http/HttpServer.h"

#include <functional>
#include <memory>

namespace briarhitch {

/** State that the hook for a disconnected caller may access; it can outlive the request. */
struct CallerConnectionState {
    bool isDisconnected { false };
    std::function<void()> onDisconnect;

    static std::shared_ptr<CallerConnectionState> of(HttpExchange& exchange)
    {
        auto watch = std::make_shared<CallerConnectionState>();
        exchange.onCallerDisconnected([watch] {
            watch->isDisconnected = true;
            if (watch->onDisconnect)
                watch->onDisconnect();
        });
        return watch;
    }
};

}
