#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/entry/EntrySettings.h"

#include <memory>

namespace briarhitch {

class Loop;

/** What a deployment adds to an entry. */
struct EntryExtensions {
    /** How targets of routed services are spoken to. */
    TargetProtocol dialect;
    /** The routed request that a caller sent; none if the own API is to take it. */
    std::function<std::optional<RoutedRequest>(const HttpRequest&)> readRequest;
    /** Path that answers 200 while the node is ready and 503 otherwise. */
    std::string readyPath;
};

/** All parts of one entry, wired together. */
class EntryNode {
public:
    EntryNode(Loop& loop, EntrySettings settings, std::optional<EntryExtensions> extensions = std::nullopt);
    ~EntryNode();

    /** Binds the addresses and starts to work. Unavailable if an address cannot be bound. */
    Result<void> start();
    /** Takes no new work and blocks the calling fiber until the work in flight has ended and the pools are handed over. */
    void drain();
    [[nodiscard]] bool isDraining() const;
    /** Takes over what may change while the process runs: the first addresses of the control processes. */
    void reload(const EntrySettings& settings);

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
