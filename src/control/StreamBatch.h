#pragma once

#include "briarhitch/model/StreamBinding.h"
#include "briarhitch/runtime/FiberEvent.h"

#include <functional>
#include <memory>
#include <vector>

namespace briarhitch {

class Loop;

/** Commits the streams that several entries report at about the same time in one command. */
class StreamBatch {
public:
    /** Commits the streams; may block its fiber. False: they may not be committed. */
    using CommitHook = std::function<bool(std::vector<StreamGroup>)>;

    StreamBatch(Loop& loop, CommitHook commit)
        : loop_(loop)
        , commit_(std::move(commit))
    {
    }

    /** Blocks the calling fiber until the streams are committed, or may not be. */
    bool commit(const std::vector<StreamGroup>& groups);

private:
    struct Batch {
        explicit Batch(Loop& loop)
            : done(loop)
        {
        }

        std::vector<StreamGroup> groups;
        size_t streamCount { 0 };
        FiberEvent done;
        bool committed { false };
    };

    Loop& loop_;
    CommitHook commit_;
    /** The batch that streams are added to; null if none is open. */
    std::shared_ptr<Batch> open_;
};

}
