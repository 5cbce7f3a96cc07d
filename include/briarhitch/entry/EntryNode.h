#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/entry/EntrySettings.h"

#include <memory>

namespace briarhitch {

class Loop;

/** Deployment-specific extensions of an entry. */
struct EntryExtensions {
    /** Protocol details of requests to targets of routed services. */
    TargetProtocol targetProtocol;
    /** Parses a routed request; none if the built-in API is to handle the HTTP request. */
    std::function<std::optional<RoutedRequest>(const HttpRequest&)> readRequest;
    /** Path on the readiness address that responds 200 while the node is ready and 503 otherwise. */
    std::string readyPath;
};

/** Assembles and runs the components of one entry. */
class EntryNode {
public:
    EntryNode(Loop& loop, EntrySettings settings, std::optional<EntryExtensions> extensions = std::nullopt);
    ~EntryNode();

    /** Binds the addresses and starts all components. Unavailable if an address cannot be bound. */
    Result<void> start();
    /** Stops accepting requests and blocks the calling fiber until those in flight have ended and the pools are handed over. */
    void drain();
    [[nodiscard]] bool isDraining() const;
    /** Applies the only setting that may change at run time: the addresses of the control voters. */
    void reload(const EntrySettings& settings);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
