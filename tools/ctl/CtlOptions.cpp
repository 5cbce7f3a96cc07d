#include "ctl/CtlOptions.h"

#include "briarhitch/settings/SettingsReader.h"

namespace briarhitch {

Result<void> readProfile(const std::string& path, CtlOptions& options)
{
    auto reader = SettingsReader::fromFile(path);
    if (!reader)
        return tl::unexpected(reader.error());
    auto servers = reader->strings("servers");
    auto key = reader->stringOr("operator_key", "");
    auto finished = reader->finish();
    if (!finished)
        return finished;
    if (options.servers.empty())
        options.servers = servers;
    if (options.operatorKey.empty())
        options.operatorKey = key;
    return {};
}

}
