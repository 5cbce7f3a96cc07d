#include "briarhitch/control/ChangeHistory.h"

namespace briarhitch {

const StoredChange* ChangeHistory::find(const std::string& id) const
{
    auto it = changes_.find(id);
    return it == changes_.end() ? nullptr : &it->second;
}

void ChangeHistory::add(StoredChange change)
{
    if (insertionOrder_.size() >= capacity) {
        changes_.erase(insertionOrder_.front());
        insertionOrder_.pop_front();
    }
    insertionOrder_.push_back(change.id);
    auto id = change.id;
    changes_.emplace(std::move(id), std::move(change));
}

std::vector<StoredChange> ChangeHistory::list() const
{
    std::vector<StoredChange> result;
    result.reserve(insertionOrder_.size());
    for (const auto& id : insertionOrder_)
        result.push_back(changes_.at(id));
    return result;
}

void ChangeHistory::restore(std::vector<StoredChange> changes)
{
    changes_.clear();
    insertionOrder_.clear();
    for (auto& change : changes)
        add(std::move(change));
}

}
