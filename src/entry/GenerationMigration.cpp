#include "entry/GenerationMigration.h"

#include "briarhitch/core/Log.h"
#include "briarhitch/runtime/Guard.h"

namespace briarhitch {

std::shared_ptr<GenerationMigration> GenerationMigration::start(RoutedRequestRunner& runner, HttpCallSettings call, const Target& source, const Target& destination, const Grant& grant)
{
    std::shared_ptr<GenerationMigration> migration(new GenerationMigration(source, destination, grant));
    // The request may end before the call does.
    runner.hooks.spawn([migration, hooks = runner.hooks, protocol = runner.protocol, call = std::move(call)] {
        runGuarded(Log("entry:"), "A migration call", [&] { migration->run(hooks, protocol, call); });
        if (!migration->result_)
            migration->result_ = MigrationResult { GenerationState::Unknown };
    });
    return migration;
}

GenerationMigration::GenerationMigration(const Target& source, const Target& destination, const Grant& grant)
    : source_(source)
    , destination_(destination)
    , grant_(grant)
{
}

void GenerationMigration::run(const RoutedRequestHooks& hooks, const TargetProtocol& protocol, const HttpCallSettings& call)
{
    auto response = hooks.start(call);
    if (!response) {
        failure_ = response.error().message;
        result_ = MigrationResult { response.error().ran == Ran::No ? GenerationState::Running : GenerationState::Unknown };
        return;
    }
    signals_ = protocol.targetSignals((*response)->headers(), (*response)->status());
    auto body = (*response)->readAll(call.headerTimeout);
    if (!body) {
        failure_ = body.error().message;
        result_ = MigrationResult { GenerationState::Unknown };
        return;
    }
    result_ = protocol.parseMigrationResult(source_, (*response)->status(), *body);
}

}
