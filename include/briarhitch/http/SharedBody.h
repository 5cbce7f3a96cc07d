#pragma once

#include "briarhitch/http/MemoryBudget.h"

#include <memory>
#include <string>
#include <string_view>

namespace briarhitch {

/** Immutable body of a request. Copies share its bytes and their charge, which is returned with the last copy. */
class SharedBody {
public:
    SharedBody() = default;
    SharedBody(std::string text, MemoryCharge charge = {}); // NOLINT(google-explicit-constructor)
    SharedBody(const char* text); // NOLINT(google-explicit-constructor)

    [[nodiscard]] const std::string& text() const;
    operator const std::string&() const { return text(); } // NOLINT(google-explicit-constructor)
    [[nodiscard]] bool empty() const { return text().empty(); }
    [[nodiscard]] size_t size() const { return text().size(); }

    friend bool operator==(const SharedBody& body, std::string_view text) { return body.text() == text; }

private:
    struct Content {
        std::string text;
        MemoryCharge charge;
    };
    std::shared_ptr<const Content> content_;
};

}
