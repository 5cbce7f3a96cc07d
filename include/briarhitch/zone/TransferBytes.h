#pragma once

#include "briarhitch/core/Units.h"
#include "briarhitch/model/ClusterConfig.h"

namespace briarhitch {

/** Estimated size of a request and its answer on the wire; the messages between entries and owners do not state it. */
double estimateTransferBytes(PoolKind kind, Tokens prompt, Tokens output);

}
