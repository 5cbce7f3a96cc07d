#pragma once

#include "briarhitch/control/Commands.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace briarhitch {

/** An operator's change and its result. */
struct StoredChange {
    std::string id;
    /** Digest of the change without its expected version. */
    uint64_t digest { 0 };
    CommandResult result;

    bool operator==(const StoredChange&) const = default;

    template <class V>
    void fields(V& visit)
    {
        visit(id, digest, result);
    }
};

/** Keeps the results of the latest changes, so that a change that is sent again gets its original result. */
class ChangeHistory {
public:
    /** Ten days at the expected 6,400 changes a day. An older change that is sent again fails the check of its expected version. */
    static constexpr size_t capacity = 65536;

    [[nodiscard]] const StoredChange* find(const std::string& id) const;
    /** Evicts the oldest change when full. */
    void add(StoredChange change);
    [[nodiscard]] size_t size() const { return insertionOrder_.size(); }
    /** All changes, oldest first. */
    [[nodiscard]] std::vector<StoredChange> list() const;
    void restore(std::vector<StoredChange> changes);

private:
    std::map<std::string, StoredChange> changes_;
    std::deque<std::string> insertionOrder_;
};

}
