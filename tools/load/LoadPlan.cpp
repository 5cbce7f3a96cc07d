#include "load/LoadPlan.h"

#include "briarhitch/settings/SettingsReader.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <numeric>

namespace briarhitch {

namespace {

    constexpr std::array<std::string_view, loadKindCount> kindNames { "stream", "whole", "tag", "status", "charge" };
    constexpr double largestWeight = 1e6;

}

std::string_view toString(LoadKind kind)
{
    return kindNames[static_cast<size_t>(kind)];
}

Result<std::vector<LoadCustomer>> readCustomers(const std::string& path)
{
    auto reader = SettingsReader::fromFile(path);
    if (!reader)
        return tl::unexpected(reader.error());
    std::vector<LoadCustomer> customers;
    reader->objects("customers", true, [&](SettingsReader& object) {
        LoadCustomer customer;
        customer.name = object.string("name");
        customer.key = object.string("key");
        customer.tier = Tier(static_cast<uint8_t>(object.integer("tier", 0, Tier::count - 1, 1)));
        customer.weight = object.number("weight", 0, largestWeight, 1);
        object.object("mix", true, [&](SettingsReader& mix) {
            for (size_t kind = 0; kind < loadKindCount; ++kind)
                customer.mix[kind] = mix.number(std::string(kindNames[kind]), 0, largestWeight, 0);
        });
        if (std::accumulate(customer.mix.begin(), customer.mix.end(), 0.0) <= 0)
            object.addProblem("mix", "at least one kind needs a weight above 0");
        customers.push_back(customer);
    });
    if (auto result = reader->finish(); !result)
        return tl::unexpected(result.error());
    if (customers.empty())
        return fail(ErrorKind::InvalidSettings, path + ": at least one customer is needed");
    return customers;
}

Result<std::vector<HostPort>> parseEntries(const std::string& text)
{
    std::vector<HostPort> entries;
    for (const std::string& entry : std::vector<std::string>(absl::StrSplit(text, ',', absl::SkipEmpty()))) {
        auto colon = entry.rfind(':');
        uint32_t port = 0;
        if (colon == std::string::npos || !absl::SimpleAtoi(entry.substr(colon + 1), &port) || port == 0 || port > 65535)
            return fail(ErrorKind::InvalidSettings, "entry must be HOST:PORT: " + entry);
        entries.push_back({ entry.substr(0, colon), static_cast<uint16_t>(port) });
    }
    if (entries.empty())
        return fail(ErrorKind::InvalidSettings, "at least one entry is needed");
    return entries;
}

size_t pickWeighted(const std::vector<double>& weights, Random& random)
{
    double left = random.unit() * std::accumulate(weights.begin(), weights.end(), 0.0);
    for (size_t index = 0; index + 1 < weights.size(); ++index) {
        left -= weights[index];
        if (left < 0)
            return index;
    }
    return weights.size() - 1;
}

}
