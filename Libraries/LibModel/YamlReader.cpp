#include <LibModel/YamlReader.h>

#include <LibModel/NumberText.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace Model {

namespace {

    template <typename Number>
    std::optional<Number> parseNumber(std::string_view text)
    {
        Number number {};
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

}

YamlReader YamlReader::parse(std::string_view document, const std::string& fileName)
{
    try {
        auto node = YAML::Load(std::string(document));
        if (!node.IsMap())
            throw DocumentError(fileName, 1, "document", "not a mapping", "key: value lines");
        return { node, fileName, "" };
    } catch (const YAML::Exception& exception) {
        throw DocumentError(fileName, exception.mark.line + 1, "document", exception.msg, "well-formed YAML");
    }
}

YamlReader::YamlReader(YAML::Node node, std::string fileName, std::string path)
    : m_node(std::move(node))
    , m_fileName(std::move(fileName))
    , m_path(std::move(path))
{
    refuseDoubledKeys();
}

void YamlReader::refuseDoubledKeys() const
{
    std::set<std::string> seen;
    for (const auto& entry : m_node) {
        if (!entry.first.IsScalar())
            throw DocumentError(m_fileName, entry.first.Mark().line + 1, qualified("?"), "the key is no string", "plain keys");
        if (!seen.insert(entry.first.Scalar()).second)
            throw DocumentError(m_fileName, entry.first.Mark().line + 1, qualified(entry.first.Scalar()), "stands twice", "each key once");
    }
}

std::optional<YAML::Node> YamlReader::find(const std::string& key)
{
    m_knownKeys.insert(key);
    const YAML::Node& constNode = m_node;
    auto node = constNode[key];
    if (!node.IsDefined())
        return std::nullopt;
    return node;
}

bool YamlReader::has(const std::string& key) const
{
    const YAML::Node& constNode = m_node;
    return constNode[key].IsDefined();
}

std::optional<std::string> YamlReader::scalar(const std::string& key)
{
    auto node = find(key);
    if (!node)
        return std::nullopt;
    if (!node->IsScalar())
        fail(key, "not a single value", "a single value");
    return node->Scalar();
}

std::string YamlReader::string(const std::string& key)
{
    auto text = scalar(key);
    if (!text || text->empty())
        fail(key, text ? "empty" : "missing", "a text that is not empty");
    return *text;
}

std::string YamlReader::secret(const std::string& key)
{
    constexpr size_t shortestSecret = 32;
    auto text = string(key);
    if (text.size() < shortestSecret)
        fail(key, "too short", std::to_string(shortestSecret) + " characters or more");
    return text;
}

std::string YamlReader::stringOr(const std::string& key, std::string fallback)
{
    return scalar(key).value_or(std::move(fallback));
}

double YamlReader::number(const std::string& key, double minimum, double maximum, double fallback)
{
    auto text = scalar(key);
    if (!text)
        return fallback;
    auto number = parseNumber<double>(*text);
    if (!number || !std::isfinite(*number) || *number < minimum || *number > maximum)
        fail(key, "impossible value \"" + *text + "\"", formatNumber(minimum) + " to " + formatNumber(maximum));
    return *number;
}

uint64_t YamlReader::wholeNumber(const std::string& key, uint64_t minimum, uint64_t maximum, uint64_t fallback)
{
    auto text = scalar(key);
    if (!text)
        return fallback;
    auto number = parseNumber<uint64_t>(*text);
    if (!number || *number < minimum || *number > maximum)
        fail(key, "impossible value \"" + *text + "\"", "whole numbers " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return *number;
}

bool YamlReader::boolean(const std::string& key, bool fallback)
{
    auto text = scalar(key);
    if (!text)
        return fallback;
    if (*text != "true" && *text != "false")
        fail(key, "impossible value \"" + *text + "\"", "true, false");
    return *text == "true";
}

Duration YamlReader::duration(const std::string& key, Duration minimum, Duration maximum, Duration fallback)
{
    auto text = scalar(key);
    if (!text)
        return fallback;
    auto duration = parseDuration(*text);
    if (!duration || *duration < minimum || *duration > maximum)
        fail(key, "impossible value \"" + *text + "\"", formatDuration(minimum) + " to " + formatDuration(maximum) + ", with one of the units us, ms, s, min, h");
    return *duration;
}

Endpoint YamlReader::endpoint(const std::string& key)
{
    auto text = scalar(key);
    auto endpoint = text ? Endpoint::parse(*text) : std::nullopt;
    if (!endpoint)
        fail(key, text ? "impossible value \"" + *text + "\"" : "missing", "IP number and port, as in 127.0.0.1:8080");
    return *endpoint;
}

std::optional<Endpoint> YamlReader::endpointOr(const std::string& key, std::optional<Endpoint> fallback)
{
    return find(key) ? endpoint(key) : fallback;
}

std::vector<std::string> YamlReader::strings(const std::string& key)
{
    auto node = find(key);
    if (!node)
        return {};
    if (!node->IsSequence())
        fail(key, "not a list", "a list");

    std::vector<std::string> texts;
    for (const auto& element : *node) {
        if (!element.IsScalar())
            fail(key, "holds an element that is no single value", "a list of single values");
        texts.push_back(element.Scalar());
    }
    return texts;
}

std::vector<Endpoint> YamlReader::endpoints(const std::string& key)
{
    std::vector<Endpoint> endpoints;
    for (const auto& text : strings(key)) {
        auto endpoint = Endpoint::parse(text);
        if (!endpoint)
            fail(key, "impossible value \"" + text + "\"", "IP numbers and ports, as in 127.0.0.1:8080");
        if (std::ranges::find(endpoints, *endpoint) != endpoints.end())
            fail(key, "names " + text + " twice", "each endpoint once");
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

YamlReader YamlReader::mapping(const std::string& key)
{
    auto node = find(key);
    if (!node)
        return { YAML::Node(YAML::NodeType::Map), m_fileName, qualified(key) };
    if (!node->IsMap())
        fail(key, "not a mapping", "key: value lines");
    return { *node, m_fileName, qualified(key) };
}

std::vector<YamlReader> YamlReader::mappings(const std::string& key)
{
    auto node = find(key);
    if (!node)
        return {};
    if (!node->IsSequence())
        fail(key, "not a list", "a list of mappings");

    std::vector<YamlReader> readers;
    for (const auto& element : *node) {
        auto path = qualified(key) + "[" + std::to_string(readers.size()) + "]";
        if (!element.IsMap())
            throw DocumentError(m_fileName, element.Mark().line + 1, path, "not a mapping", "key: value lines");
        readers.emplace_back(element, m_fileName, path);
    }
    return readers;
}

void YamlReader::finish() const
{
    for (const auto& entry : m_node) {
        auto key = entry.first.Scalar();
        if (m_knownKeys.contains(key))
            continue;
        std::string allowed;
        for (const auto& known : m_knownKeys)
            allowed += (allowed.empty() ? "" : ", ") + known;
        throw DocumentError(m_fileName, entry.first.Mark().line + 1, qualified(key), "unknown key", allowed);
    }
}

void YamlReader::fail(const std::string& key, const std::string& problem, const std::string& allowed) const
{
    throw DocumentError(m_fileName, lineOf(key), qualified(key), problem, allowed);
}

std::string YamlReader::qualified(const std::string& key) const
{
    return m_path.empty() ? key : m_path + "." + key;
}

int YamlReader::lineOf(const std::string& key) const
{
    for (const auto& entry : m_node) {
        if (entry.first.Scalar() == key)
            return entry.first.Mark().line + 1;
    }
    return std::max(m_node.Mark().line, 0) + 1;
}

}
