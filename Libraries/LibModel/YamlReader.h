#pragma once

#include <LibModel/DurationText.h>
#include <LibModel/Endpoint.h>
#include <LibModel/EnumNames.h>
#include <LibModel/Error.h>
#include <LibModel/StrongTypes.h>
#include <LibModel/Time.h>

#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>
#include <yaml-cpp/yaml.h>

namespace Model {

// Reads one YAML mapping with checks: wrong types, impossible values, missing, doubled and unknown keys
// throw DocumentError with file, line and key. Only source files include this header, because it brings yaml-cpp with it.
class YamlReader {
public:
    // Parses the document, whose top level must be a mapping.
    static YamlReader parse(std::string_view document, const std::string& fileName);

    // Begins with the given mapping. The path names it in errors.
    YamlReader(YAML::Node, std::string fileName, std::string path);

    bool has(const std::string& key) const;

    std::string string(const std::string& key);
    // A key that is shared among parties, at least 32 characters long. It never appears in errors.
    std::string secret(const std::string& key);
    std::string stringOr(const std::string& key, std::string fallback);
    double number(const std::string& key, double minimum, double maximum, double fallback);
    uint64_t wholeNumber(const std::string& key, uint64_t minimum, uint64_t maximum, uint64_t fallback);
    bool boolean(const std::string& key, bool fallback);
    // Reads "250ms", "2s", "5min", "1h" or "40us".
    Duration duration(const std::string& key, Duration minimum, Duration maximum, Duration fallback);
    Endpoint endpoint(const std::string& key);
    std::optional<Endpoint> endpointOr(const std::string& key, std::optional<Endpoint> fallback);
    std::vector<Endpoint> endpoints(const std::string& key);
    // The mapping below the key; an empty one if it is missing.
    YamlReader mapping(const std::string& key);
    // The mappings in the list below the key; none if it is missing.
    std::vector<YamlReader> mappings(const std::string& key);
    std::vector<std::string> strings(const std::string& key);

    template <typename Enum>
    Enum enumeration(const std::string& key, std::optional<Enum> fallback);

    // Throws if the mapping holds keys that nobody asked for.
    void finish() const;

    [[noreturn]] void fail(const std::string& key, const std::string& problem, const std::string& allowed) const;

private:
    std::optional<YAML::Node> find(const std::string& key);
    std::optional<std::string> scalar(const std::string& key);
    std::string qualified(const std::string& key) const;
    int lineOf(const std::string& key) const;
    void refuseDoubledKeys() const;

    YAML::Node m_node;
    std::string m_fileName;
    std::string m_path;
    std::set<std::string> m_knownKeys;
};

template <typename Enum>
Enum YamlReader::enumeration(const std::string& key, std::optional<Enum> fallback)
{
    auto text = scalar(key);
    if (!text && fallback)
        return *fallback;

    std::string allowed;
    for (const auto& entry : EnumNames<Enum>::entries) {
        if (text && entry.name == *text)
            return entry.value;
        allowed += (allowed.empty() ? "" : ", ") + std::string(entry.name);
    }
    fail(key, text ? "unknown value \"" + *text + "\"" : "missing", allowed);
}

}
