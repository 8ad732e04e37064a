#include <LibControl/JsonText.h>

#include <LibControl/ControlError.h>

#include <json/reader.h>
#include <json/writer.h>
#include <memory>

namespace Control {

static Json::CharReaderBuilder strictReaderBuilder()
{
    constexpr int maximumNestingDepth = 32;
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = maximumNestingDepth;
    builder["strictRoot"] = false;
    return builder;
}

static Json::StreamWriterBuilder compactWriterBuilder()
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = false;
    return builder;
}

Json::Value parseJson(std::string_view text)
{
    static const auto builder = strictReaderBuilder();
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            return value;
    } catch (const Json::Exception& exception) {
        errors = exception.what();
    }
    throw ControlError(Refusal::Malformed, "unknown", errors);
}

std::string formatJson(const Json::Value& value)
{
    static const auto builder = compactWriterBuilder();
    return Json::writeString(builder, value);
}

}
