#include "briarhitch/wire/EncodedConfig.h"

#include "wire/Codec.h"

namespace briarhitch {

EncodedConfig::EncodedConfig(const ClusterConfig& config)
    : bytes_(encode(config))
{
}

Result<ClusterConfig> EncodedConfig::decoded() const
{
    return decode<ClusterConfig>(bytes_);
}

}
