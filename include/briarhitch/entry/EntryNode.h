#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/entry/EntrySettings.h"

#include <memory>

namespace briarhitch {

class Loop;

/** All parts of one entry, wired together. */
class EntryNode {
public:
    EntryNode(Loop& loop, EntrySettings settings);
    ~EntryNode();

    /** Binds the addresses and starts to work. Unavailable if an address cannot be bound. */
    Result<void> start();
    /** Takes no new work and blocks the calling fiber until the work in flight has ended and the pools are handed over. */
    void drain();
    [[nodiscard]] bool isDraining() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

}
