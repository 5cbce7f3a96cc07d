#pragma once

#include "briarhitch/core/Error.h"

#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace briarhitch {

/**
 * Reads one JSON object field by field. Comments are allowed. Every problem is recorded with the file, the path of
 * the field, the value found and the allowed values; finish() also reports fields that were not requested.
 */
class SettingsReader {
public:
    /** InvalidSettings if the file cannot be read or is not JSON. */
    static Result<SettingsReader> fromFile(const std::string& path);
    static Result<SettingsReader> fromText(const std::string& text, const std::string& fileName);

    SettingsReader(SettingsReader&&) noexcept;
    SettingsReader& operator=(SettingsReader&&) noexcept;
    ~SettingsReader();

    /** Required string of at least minLength bytes; "" after an error. */
    std::string string(const std::string& name, size_t minLength = 1);
    std::string stringOr(const std::string& name, const std::string& fallback);
    /** One of the allowed strings. */
    std::string choice(const std::string& name, const std::vector<std::string>& allowed, const std::string& fallback);
    int64_t integer(const std::string& name, int64_t minimum, int64_t maximum, std::optional<int64_t> fallback = std::nullopt);
    double number(const std::string& name, double minimum, double maximum, std::optional<double> fallback = std::nullopt);
    bool boolean(const std::string& name, std::optional<bool> fallback = std::nullopt);
    std::vector<std::string> strings(const std::string& name, bool required = false);
    /** Reads a nested object with its own reader; does nothing if it is absent and not required. */
    void object(const std::string& name, bool required, const std::function<void(SettingsReader&)>& read);
    /** Calls `read` for each object of an array. */
    void objects(const std::string& name, bool required, const std::function<void(SettingsReader&)>& read);
    /** Adds a problem found by the caller. */
    void addProblem(const std::string& name, const std::string& text);

    /** InvalidSettings with one line for each problem, if there is any. */
    Result<void> finish();

private:
    struct State;
    SettingsReader(std::shared_ptr<State> state, std::shared_ptr<nlohmann::json> value, std::string path);
    const nlohmann::json* find(const std::string& name, bool required);
    std::string pathOf(const std::string& name) const;
    void reportUnknown();

    std::shared_ptr<State> state_;
    std::shared_ptr<nlohmann::json> value_;
    std::string path_;
    std::vector<std::string> requestedNames_;
};

}
