#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/model/ClusterConfig.h"

#include <string>

namespace briarhitch {

/** A complete cluster configuration in its wire encoding; encoded once for all receiving nodes. */
class EncodedConfig {
public:
    EncodedConfig() = default;
    // Implicit, so that a configuration can be assigned to a message field.
    EncodedConfig(const ClusterConfig& config); // NOLINT(google-explicit-constructor)

    /** BadRequest if the bytes do not encode a configuration. */
    [[nodiscard]] Result<ClusterConfig> decoded() const;

    template <class V>
    void fields(V& visit)
    {
        visit(bytes_);
    }

private:
    std::string bytes_;
};

}
