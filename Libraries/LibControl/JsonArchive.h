#pragma once

#include <LibControl/ControlError.h>
#include <LibModel/Endpoint.h>
#include <LibModel/EnumNames.h>
#include <LibModel/StrongTypes.h>
#include <LibModel/Time.h>

#include <json/value.h>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

// Serializes typed values to JSON and back. Each type lists its fields in one function,
// `template<typename Archive> void describe(Archive&, Type&)`, which is used with JsonWriter to encode and with
// JsonReader to decode. Alternatives of a variant also have a function `const char* kindOf(const Type&)`, whose result
// is the value of the JSON field "kind".
namespace Control {

// Maximum number of elements of a list in a decoded message.
constexpr size_t maximumListLength = 100'000;

// Writes fields into a JSON object.
class JsonWriter {
public:
    template <typename Value>
    void field(const char* name, const Value& value) { m_json[name] = write(value); }

    // Omits the field if the value is the default of its type.
    template <typename Value>
    void optionalField(const char* name, const Value& value)
    {
        if (value != Value {})
            field(name, value);
    }

    Json::Value take() { return std::move(m_json); }

    template <typename Value>
    static Json::Value write(const Value& value)
    {
        if constexpr (std::is_same_v<Value, bool> || std::is_floating_point_v<Value> || std::is_same_v<Value, std::string>)
            return Json::Value(value);
        else if constexpr (std::is_enum_v<Value>)
            return Json::Value(std::string(Model::nameOf(value)));
        else if constexpr (std::is_integral_v<Value>)
            return Json::Value(static_cast<Json::UInt64>(value));
        else
            return writeClass(value);
    }

private:
    template <typename Tag>
    static Json::Value writeClass(const Model::StrongString<Tag>& value) { return Json::Value(value.value()); }
    template <typename Tag>
    static Json::Value writeClass(const Model::StrongNumber<Tag>& value) { return Json::Value(static_cast<Json::UInt64>(value.value())); }
    static Json::Value writeClass(const Model::Duration& value) { return Json::Value(static_cast<Json::Int64>(value.count())); }
    static Json::Value writeClass(const Model::Endpoint& value) { return value.port ? Json::Value(value.toString()) : Json::Value(""); }

    template <typename Element>
    static Json::Value writeClass(const std::vector<Element>& values)
    {
        Json::Value list(Json::arrayValue);
        for (const auto& value : values)
            list.append(write(value));
        return list;
    }

    template <typename Value>
    static Json::Value writeClass(const std::optional<Value>& value) { return value ? write(*value) : Json::Value(); }

    template <typename... Alternatives>
    static Json::Value writeClass(const std::variant<Alternatives...>& value)
    {
        return std::visit([](const auto& alternative) {
            Json::Value json = write(alternative);
            json["kind"] = kindOf(alternative);
            return json;
        },
            value);
    }

    template <typename Value>
    static Json::Value writeClass(const Value& value)
    {
        JsonWriter writer;
        // describe() takes a mutable reference because it also serves JsonReader; with a JsonWriter it only reads the
        // value.
        describe(writer, const_cast<Value&>(value));
        return writer.take();
    }

    Json::Value m_json { Json::objectValue };
};

// Reads fields from a JSON object. Throws ControlError if a required field is missing, or if a value has the wrong type
// or is out of range. The object must outlive the reader.
class JsonReader {
public:
    explicit JsonReader(const Json::Value& json)
        : m_json(json)
    {
        require(json.isObject(), "an object");
    }

    template <typename Value>
    void field(const char* name, Value& value)
    {
        require(m_json.isMember(name), name);
        read(m_json[name], value);
    }

    // Sets the value to the default of its type if the field is missing.
    template <typename Value>
    void optionalField(const char* name, Value& value)
    {
        value = {};
        if (m_json.isMember(name))
            read(m_json[name], value);
    }

    template <typename Value>
    static void read(const Json::Value& json, Value& value)
    {
        if constexpr (std::is_same_v<Value, bool>) {
            require(json.isBool(), "a boolean");
            value = json.asBool();
        } else if constexpr (std::is_enum_v<Value>) {
            require(json.isString(), "a name");
            auto named = Model::enumFromName<Value>(json.asString());
            require(named.has_value(), "a known name");
            value = *named;
        } else if constexpr (std::is_floating_point_v<Value>) {
            require(json.isNumeric(), "a number");
            value = json.asDouble();
        } else if constexpr (std::is_integral_v<Value>) {
            require(json.isUInt64() && json.asUInt64() <= std::numeric_limits<Value>::max(), "a whole number in range");
            value = static_cast<Value>(json.asUInt64());
        } else if constexpr (std::is_same_v<Value, std::string>) {
            require(json.isString(), "a string");
            value = json.asString();
        } else {
            readClass(json, value);
        }
    }

private:
    static void require(bool condition, const char* expected)
    {
        if (!condition)
            throw ControlError(Refusal::Malformed, "unknown", std::string("expected ") + expected);
    }

    template <typename Tag>
    static void readClass(const Json::Value& json, Model::StrongString<Tag>& value)
    {
        require(json.isString(), "a string");
        value = Model::StrongString<Tag>(json.asString());
    }

    template <typename Tag>
    static void readClass(const Json::Value& json, Model::StrongNumber<Tag>& value)
    {
        require(json.isUInt64(), "a whole number");
        value = Model::StrongNumber<Tag>(json.asUInt64());
    }

    static void readClass(const Json::Value& json, Model::Duration& value)
    {
        require(json.isInt64() && json.asInt64() >= 0, "microseconds");
        value = Model::Duration(json.asInt64());
    }

    static void readClass(const Json::Value& json, Model::Endpoint& value)
    {
        require(json.isString(), "an endpoint");
        if (json.asString().empty()) {
            value = {};
            return;
        }
        auto endpoint = Model::Endpoint::parse(json.asString());
        require(endpoint.has_value(), "an endpoint");
        value = *endpoint;
    }

    template <typename Element>
    static void readClass(const Json::Value& json, std::vector<Element>& values)
    {
        require(json.isArray() && json.size() <= maximumListLength, "a list");
        values.resize(json.size());
        for (Json::ArrayIndex index = 0; index < json.size(); ++index)
            read(json[index], values[index]);
    }

    template <typename Value>
    static void readClass(const Json::Value& json, std::optional<Value>& value)
    {
        value.reset();
        if (json.isNull())
            return;
        value.emplace();
        read(json, *value);
    }

    template <typename... Alternatives>
    static void readClass(const Json::Value& json, std::variant<Alternatives...>& value)
    {
        require(json.isObject() && json["kind"].isString(), "a kind");
        bool isKnown = (readAlternative<Alternatives>(json, value) || ...);
        require(isKnown, "a known kind");
    }

    template <typename Alternative, typename Variant>
    static bool readAlternative(const Json::Value& json, Variant& value)
    {
        Alternative alternative;
        if (json["kind"].asString() != kindOf(alternative))
            return false;
        read(json, alternative);
        value = std::move(alternative);
        return true;
    }

    template <typename Value>
    static void readClass(const Json::Value& json, Value& value)
    {
        JsonReader reader(json);
        describe(reader, value);
    }

    const Json::Value& m_json;
};

}
