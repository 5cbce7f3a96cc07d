#include "briarhitch/model/Contract.h"

#include <algorithm>

namespace briarhitch {

namespace {

    bool matches(const IdempotencyRule& rule, const std::string& service, const std::string& method, const std::string& path)
    {
        return rule.service == service && (rule.method == "*" || rule.method == method) && path.starts_with(rule.pathPrefix);
    }

}

bool isIdempotent(const Contract& contract, const std::string& service, const std::string& method, const std::string& path)
{
    return std::any_of(contract.idempotentCalls.begin(), contract.idempotentCalls.end(),
        [&](const IdempotencyRule& rule) { return matches(rule, service, method, path); });
}

bool isModelAllowed(const Contract& contract, const std::string& model)
{
    return contract.models.empty() || std::find(contract.models.begin(), contract.models.end(), model) != contract.models.end();
}

}
