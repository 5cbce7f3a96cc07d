#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace briarhitch {

/**
 * Registry of plug-ins of one kind, by name. A plug-in registers itself with a static Registration in its source file:
 *
 *     static Registry<Policy>::Registration registration("naive", [](const Settings& s) { ... });
 */
template <class Factory>
class Registry {
public:
    struct Registration {
        Registration(std::string name, Factory factory) { entries()[std::move(name)] = std::move(factory); }
    };

    /** The factory with this name; nullptr if there is none. */
    static const Factory* find(const std::string& name)
    {
        auto it = entries().find(name);
        return it == entries().end() ? nullptr : &it->second;
    }

    static std::vector<std::string> names()
    {
        std::vector<std::string> result;
        for (const auto& [name, factory] : entries())
            result.push_back(name);
        return result;
    }

private:
    // A function-local static is initialized before its first use by a Registration in another source file.
    static std::map<std::string, Factory>& entries()
    {
        static std::map<std::string, Factory> map;
        return map;
    }
};

}
