#pragma once

#include "briarhitch/entry/RoutedRequestRunner.h"

#include <memory>
#include <optional>

namespace briarhitch {

/**
 * The call that stops a running generation and has its KV cache sent to another target. It runs in a fiber of its own, because the
 * copy may wait behind others for longer than a caller should wait for events that have already been made.
 */
class GenerationMigration {
public:
    /** `grant` is for `destination`; the caller releases it, or resumes the generation under it. */
    static std::shared_ptr<GenerationMigration> start(RoutedRequestRunner& runner, HttpCallSettings call, const Target& source, const Target& destination, const Grant& grant);

    /** None while the call is not answered. */
    [[nodiscard]] const std::optional<MigrationResult>& result() const { return result_; }
    /** What the source said about itself in its answer; none without an answer. */
    [[nodiscard]] const std::optional<TargetSignals>& signals() const { return signals_; }
    [[nodiscard]] const std::string& failure() const { return failure_; }
    [[nodiscard]] const Target& destination() const { return destination_; }
    [[nodiscard]] const Grant& grant() const { return grant_; }

private:
    GenerationMigration(const Target& source, const Target& destination, const Grant& grant);
    void run(const RoutedRequestHooks& hooks, const TargetProtocol& protocol, const HttpCallSettings& call);

    Target source_;
    Target destination_;
    Grant grant_;
    std::optional<MigrationResult> result_;
    std::optional<TargetSignals> signals_;
    std::string failure_;
};

}
