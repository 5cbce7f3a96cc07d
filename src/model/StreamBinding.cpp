#include "briarhitch/model/StreamBinding.h"

#include <algorithm>

namespace briarhitch {

void addToGroups(std::vector<StreamGroup>& groups, const StreamBinding& binding)
{
    auto it = std::find_if(groups.begin(), groups.end(), [&](const StreamGroup& group) { return group.service == binding.service && group.softwareVersion == binding.softwareVersion; });
    if (it == groups.end())
        it = groups.insert(groups.end(), { binding.service, binding.softwareVersion, {} });
    it->streams.push_back(binding.stream);
}

}
