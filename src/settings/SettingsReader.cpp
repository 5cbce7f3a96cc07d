#include "briarhitch/settings/SettingsReader.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace briarhitch {

using Json = nlohmann::json;

struct SettingsReader::State {
    std::string file;
    std::vector<std::string> problems;
};

namespace {

    constexpr size_t maxQuotedBytes = 60;

    std::string quoted(const Json& value)
    {
        std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
        if (text.size() > maxQuotedBytes)
            text = text.substr(0, maxQuotedBytes) + "...";
        return text;
    }

    template <class T>
    std::string range(T minimum, T maximum)
    {
        std::ostringstream text;
        text << minimum << " to " << maximum;
        return text.str();
    }

    std::string joined(const std::vector<std::string>& words)
    {
        std::string text;
        for (const auto& word : words)
            text += (text.empty() ? "" : ", ") + word;
        return text;
    }

}

SettingsReader::SettingsReader(SettingsReader&&) noexcept = default;
SettingsReader& SettingsReader::operator=(SettingsReader&&) noexcept = default;
SettingsReader::~SettingsReader() = default;

SettingsReader::SettingsReader(std::shared_ptr<State> state, std::shared_ptr<Json> value, std::string path)
    : state_(std::move(state))
    , value_(std::move(value))
    , path_(std::move(path))
{
}

Result<SettingsReader> SettingsReader::fromFile(const std::string& path)
{
    std::ifstream stream(path);
    if (!stream)
        return fail(ErrorKind::InvalidSettings, path + ": cannot be read");
    std::ostringstream text;
    text << stream.rdbuf();
    return fromText(text.str(), path);
}

Result<SettingsReader> SettingsReader::fromText(const std::string& text, const std::string& fileName)
{
    auto value = std::make_shared<Json>();
    try {
        *value = Json::parse(text, nullptr, true, true);
    } catch (const Json::parse_error& error) {
        return fail(ErrorKind::InvalidSettings, fileName + ": not valid JSON: " + error.what());
    }
    if (!value->is_object())
        return fail(ErrorKind::InvalidSettings, fileName + ": found " + quoted(*value) + ", expected an object");
    auto state = std::make_shared<State>();
    state->file = fileName;
    return SettingsReader(state, value, "");
}

std::string SettingsReader::pathOf(const std::string& name) const
{
    return path_.empty() ? name : path_ + "." + name;
}

void SettingsReader::addProblem(const std::string& name, const std::string& text)
{
    state_->problems.push_back(state_->file + ": " + pathOf(name) + ": " + text);
}

const Json* SettingsReader::find(const std::string& name, bool required)
{
    requestedNames_.push_back(name);
    auto it = value_->find(name);
    if (it != value_->end())
        return &*it;
    if (required)
        addProblem(name, "is missing");
    return nullptr;
}

std::string SettingsReader::string(const std::string& name, size_t minLength)
{
    const Json* value = find(name, true);
    if (!value)
        return {};
    if (value->is_string() && value->get_ref<const std::string&>().size() >= minLength)
        return value->get<std::string>();
    addProblem(name, "found " + quoted(*value) + ", expected a string of at least " + std::to_string(minLength) + " characters");
    return {};
}

std::string SettingsReader::stringOr(const std::string& name, const std::string& fallback)
{
    const Json* value = find(name, false);
    if (!value)
        return fallback;
    if (value->is_string())
        return value->get<std::string>();
    addProblem(name, "found " + quoted(*value) + ", expected a string");
    return fallback;
}

std::string SettingsReader::choice(const std::string& name, const std::vector<std::string>& allowed, const std::string& fallback)
{
    const Json* value = find(name, false);
    if (!value)
        return fallback;
    if (value->is_string() && std::find(allowed.begin(), allowed.end(), value->get<std::string>()) != allowed.end())
        return value->get<std::string>();
    addProblem(name, "found " + quoted(*value) + ", expected one of: " + joined(allowed));
    return fallback;
}

int64_t SettingsReader::integer(const std::string& name, int64_t minimum, int64_t maximum, std::optional<int64_t> fallback)
{
    const Json* value = find(name, !fallback);
    if (!value)
        return fallback.value_or(minimum);
    // A number above INT64_MAX would wrap around when read as int64_t.
    bool fits = value->is_number_integer() && !(value->is_number_unsigned() && value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX));
    if (fits && value->get<int64_t>() >= minimum && value->get<int64_t>() <= maximum)
        return value->get<int64_t>();
    addProblem(name, "found " + quoted(*value) + ", expected an integer from " + range(minimum, maximum));
    return fallback.value_or(minimum);
}

double SettingsReader::number(const std::string& name, double minimum, double maximum, std::optional<double> fallback)
{
    const Json* value = find(name, !fallback);
    if (!value)
        return fallback.value_or(minimum);
    if (value->is_number() && value->get<double>() >= minimum && value->get<double>() <= maximum)
        return value->get<double>();
    addProblem(name, "found " + quoted(*value) + ", expected a number from " + range(minimum, maximum));
    return fallback.value_or(minimum);
}

bool SettingsReader::boolean(const std::string& name, std::optional<bool> fallback)
{
    const Json* value = find(name, !fallback);
    if (!value)
        return fallback.value_or(false);
    if (value->is_boolean())
        return value->get<bool>();
    addProblem(name, "found " + quoted(*value) + ", expected true or false");
    return fallback.value_or(false);
}

std::vector<std::string> SettingsReader::strings(const std::string& name, bool required)
{
    const Json* value = find(name, required);
    if (!value)
        return {};
    bool isValid = value->is_array() && std::all_of(value->begin(), value->end(), [](const Json& element) { return element.is_string(); });
    if (isValid)
        return value->get<std::vector<std::string>>();
    addProblem(name, "found " + quoted(*value) + ", expected an array of strings");
    return {};
}

void SettingsReader::object(const std::string& name, bool required, const std::function<void(SettingsReader&)>& read)
{
    const Json* value = find(name, required);
    if (!value)
        return;
    if (!value->is_object()) {
        addProblem(name, "found " + quoted(*value) + ", expected an object");
        return;
    }
    SettingsReader nested(state_, std::make_shared<Json>(*value), pathOf(name));
    read(nested);
    nested.reportUnknown();
}

void SettingsReader::objects(const std::string& name, bool required, const std::function<void(SettingsReader&)>& read)
{
    const Json* value = find(name, required);
    if (!value)
        return;
    if (!value->is_array()) {
        addProblem(name, "found " + quoted(*value) + ", expected an array of objects");
        return;
    }
    for (size_t i = 0; i < value->size(); ++i) {
        std::string element = name + "[" + std::to_string(i) + "]";
        if (!(*value)[i].is_object()) {
            addProblem(element, "found " + quoted((*value)[i]) + ", expected an object");
            continue;
        }
        SettingsReader nested(state_, std::make_shared<Json>((*value)[i]), pathOf(element));
        read(nested);
        nested.reportUnknown();
    }
}

void SettingsReader::reportUnknown()
{
    for (const auto& [name, value] : value_->items()) {
        if (std::find(requestedNames_.begin(), requestedNames_.end(), name) == requestedNames_.end())
            addProblem(name, "is not a known setting; known settings are: " + joined(requestedNames_));
    }
}

Result<void> SettingsReader::finish()
{
    reportUnknown();
    if (state_->problems.empty())
        return {};
    std::string text;
    for (const auto& line : state_->problems)
        text += (text.empty() ? "" : "\n") + line;
    return fail(ErrorKind::InvalidSettings, text);
}

}
