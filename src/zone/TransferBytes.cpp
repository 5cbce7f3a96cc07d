#include "briarhitch/zone/TransferBytes.h"

namespace briarhitch {

namespace {

    // JSON text of a prompt, and an event per few output tokens.
    constexpr double bytesPerPromptToken = 4;
    constexpr double bytesPerOutputToken = 40;
    constexpr double serviceBytes = 4096;

}

double estimateTransferBytes(PoolKind kind, Tokens prompt, Tokens output)
{
    if (kind != PoolKind::Model)
        return serviceBytes;
    return static_cast<double>(prompt.value()) * bytesPerPromptToken + static_cast<double>(output.value()) * bytesPerOutputToken;
}

}
