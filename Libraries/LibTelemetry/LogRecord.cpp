#include <LibTelemetry/LogRecord.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <initializer_list>

namespace Telemetry {

namespace {

    bool needsQuotes(std::string_view text)
    {
        return std::ranges::any_of(text, [](char character) {
            return character <= ' ' || character > '~' || character == '"' || character == '=' || character == '\\';
        });
    }

    // Lines are built by appending, which also keeps clear of a false warning of GCC 12 about concatenated texts.
    void append(std::string& line, std::initializer_list<std::string_view> parts)
    {
        std::ranges::for_each(parts, [&line](std::string_view part) { line.append(part); });
    }

    std::string formatKeyValue(const LogRecord& record)
    {
        std::string line;
        append(line, { "level=", nameOf(record.level), " event=", record.event });
        for (const auto& field : record.fields) {
            if (!field.value.empty())
                append(line, { " ", field.name, "=", needsQuotes(field.value) ? quoteJson(field.value) : field.value });
        }
        return line;
    }

    std::string formatJsonRecord(const LogRecord& record)
    {
        std::string line;
        append(line, { "{\"level\":", quoteJson(nameOf(record.level)), ",\"event\":", quoteJson(record.event) });
        for (const auto& field : record.fields) {
            if (!field.value.empty())
                append(line, { ",", quoteJson(field.name), ":", quoteJson(field.value) });
        }
        line.push_back('}');
        return line;
    }

}

std::string quoteJson(std::string_view text)
{
    std::string quoted = "\"";
    for (char character : text) {
        if (character == '"' || character == '\\') {
            quoted += '\\';
            quoted += character;
        } else if (character < ' ' || character > '~') {
            std::array<char, 8> escape {};
            std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned>(static_cast<unsigned char>(character)));
            quoted += escape.data();
        } else {
            quoted += character;
        }
    }
    quoted.push_back('"');
    return quoted;
}

std::string formatRecord(const LogRecord& record, LogFormat format)
{
    return format == LogFormat::Json ? formatJsonRecord(record) : formatKeyValue(record);
}

}
