#include "entry/RequestDigests.h"

#include "briarhitch/core/Digest.h"

#include <absl/strings/str_cat.h>
#include <algorithm>

namespace briarhitch {

RequestDigest makeRequestDigest(CustomerId customer, std::string_view method, std::string_view target, std::string_view body)
{
    // Neither a method nor a target contains a line end. The body, which may be large, is not copied.
    auto identity = absl::StrCat(customer.value(), "\n", std::string(method), "\n", std::string(target), "\n", sha256Hex(body));
    return RequestDigest(std::max<uint64_t>(sha256Prefix(identity), 1));
}

}
