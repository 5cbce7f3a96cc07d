#include "briarhitch/control/StateMachine.h"

#include "control/ConfigSizes.h"
#include "wire/Codec.h"

namespace briarhitch {

namespace {

    constexpr uint32_t snapshotFieldCount = 9;
    /** Initial size of a snapshot's buffer: a minimum, and an estimate for each run record. */
    constexpr size_t expectedRunBytes = 64;
    constexpr size_t minSnapshotBytes = 4096;

    /** The stored format that takeSnapshot() writes; fields may only be appended. */
    struct Snapshot {
        ClusterConfig config;
        std::map<NodeId, Version> nodeRecordVersions;
        std::vector<StoredChange> changes;
        RunStoreSnapshot runs;
        uint32_t nextCustomer { 0 };
        uint32_t nextTarget { 0 };
        uint32_t nextPool { 0 };
        std::string routingSource;
        StreamStoreSnapshot streams;

        template <class V>
        void fields(V& visit)
        {
            visit(config, nodeRecordVersions, changes, runs, nextCustomer, nextTarget, nextPool, routingSource, streams);
        }
    };

}

std::string StateMachine::takeSnapshot() const
{
    msgpack::sbuffer buffer(configBytes_ + runs_.responseBytes() + runs_.size() * expectedRunBytes + minSnapshotBytes);
    codec::Packer packer(buffer);
    packer.pack_array(snapshotFieldCount);
    codec::pack(packer, config_);
    codec::pack(packer, nodeRecordVersions_);
    codec::pack(packer, changes_.list());
    // The format of RunStoreSnapshot, written without copying all records.
    packer.pack_array(2);
    packer.pack_array(static_cast<uint32_t>(runs_.size() - runs_.retiredCount()));
    runs_.forEachRun([&](const StoredRun& run) { codec::pack(packer, run); });
    packer.pack_array(static_cast<uint32_t>(runs_.retiredCount()));
    runs_.forEachRetired([&](const RetiredRun& run) { codec::pack(packer, run); });
    codec::pack(packer, nextCustomer_);
    codec::pack(packer, nextTarget_);
    codec::pack(packer, nextPool_);
    codec::pack(packer, routingSource_);
    codec::pack(packer, streams_.takeSnapshot());
    return { buffer.data(), buffer.size() };
}

Result<void> StateMachine::loadSnapshot(std::string_view bytes)
{
    auto snapshot = decode<Snapshot>(bytes);
    if (!snapshot)
        return fail(ErrorKind::Damaged, "the snapshot of the control state cannot be decoded");
    config_ = std::move(snapshot->config);
    nodeRecordVersions_ = std::move(snapshot->nodeRecordVersions);
    changes_.restore(std::move(snapshot->changes));
    runs_.restore(std::move(snapshot->runs));
    nextCustomer_ = snapshot->nextCustomer;
    nextTarget_ = snapshot->nextTarget;
    nextPool_ = snapshot->nextPool;
    routingSource_ = std::move(snapshot->routingSource);
    streams_.restore(snapshot->streams);
    configBytes_ = encodedSize(config_);
    deltas_.clear();
    encoded_.reset();
    return {};
}

}
