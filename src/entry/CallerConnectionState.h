#pragma once

#include "briarhitch/http/HttpServer.h"

#include <functional>
#include <memory>

namespace briarhitch {

/** State that the hook for a disconnected caller may access; it can outlive the request. */
struct CallerConnectionState {
    bool isDisconnected { false };
    /** The caller continues with another request; its connection may be open still. */
    bool isSuperseded { false };
    std::function<void()> onDisconnect;

    void disconnect()
    {
        isDisconnected = true;
        if (onDisconnect)
            onDisconnect();
    }

    /** To be called when another request continues what this one runs. */
    void supersede()
    {
        isSuperseded = true;
        disconnect();
    }

    static std::shared_ptr<CallerConnectionState> of(HttpExchange& exchange)
    {
        auto watch = std::make_shared<CallerConnectionState>();
        exchange.onCallerDisconnected([watch] { watch->disconnect(); });
        return watch;
    }
};

}
