#pragma once

#include "briarhitch/core/Error.h"
#include "briarhitch/model/ClusterConfig.h"

#include <string>

namespace briarhitch {

/** A whole configuration as it goes over a link; encoded once, however many nodes get it. */
class EncodedConfig {
public:
    EncodedConfig() = default;
    // Implicit, so that a message can be filled with a configuration.
    EncodedConfig(const ClusterConfig& config); // NOLINT(google-explicit-constructor)

    /** BadRequest if the bytes are no configuration. */
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
