#include <LibPlatform/ConsulReply.h>

#include <LibControl/RouteTableCodec.h>
#include <LibModel/Error.h>
#include <LibPlatform/Base64.h>

#include <charconv>
#include <json/reader.h>
#include <json/value.h>
#include <memory>
#include <optional>

namespace Platform {

using Transport::HttpResponse;

static constexpr uint16_t ok = 200;
static constexpr uint16_t notFound = 404;
static constexpr uint16_t firstClientError = 400;
static constexpr uint16_t firstServerError = 500;

static std::optional<Json::Value> parseJson(const std::string& text)
{
    Json::CharReaderBuilder builder;
    std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
        return std::nullopt;
    return value;
}

static std::optional<KeyValue> readKeyValue(const Json::Value& entry)
{
    bool isUsable = entry.isObject() && entry["Key"].isString() && entry["ModifyIndex"].isUInt64() && (entry["Value"].isString() || entry["Value"].isNull());
    if (!isUsable)
        return std::nullopt;
    auto value = decodeBase64(entry["Value"].asString());
    if (!value)
        return std::nullopt;
    auto session = entry.get("Session", "");
    return KeyValue { entry["Key"].asString(), std::move(*value), PlatformVersion(entry["ModifyIndex"].asUInt64()), PlatformLease(session.isString() ? session.asString() : "") };
}

static std::optional<uint64_t> readIndex(const HttpResponse& response)
{
    auto text = findHeader(response.headers, "x-consul-index");
    uint64_t index = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), index).ec != std::errc {} || index == 0)
        return std::nullopt;
    return index;
}

static std::optional<std::vector<KeyValue>> readListing(const HttpResponse& response)
{
    if (response.status == notFound)
        return std::vector<KeyValue> {};
    auto json = response.status == ok ? parseJson(response.body) : std::nullopt;
    if (!json || !json->isArray())
        return std::nullopt;
    std::vector<KeyValue> values;
    for (const auto& entry : *json) {
        auto value = readKeyValue(entry);
        if (!value)
            return std::nullopt;
        values.push_back(std::move(*value));
    }
    return values;
}

static PlatformReply readListingReply(const HttpResponse& response)
{
    auto index = readIndex(response);
    auto values = readListing(response);
    // A watch without an index would return at once, and be asked again at once.
    if (!index || !values)
        return {};
    return { .status = PlatformStatus::Done, .values = std::move(*values), .index = *index };
}

static PlatformReply readRoutesReply(const HttpResponse& response)
{
    auto reply = readListingReply(response);
    if (reply.values.empty())
        return reply;
    try {
        reply.routes = std::make_shared<const RouteTable>(Control::decodeRouteTable(reply.values.front().value));
    } catch (const Model::Error& error) {
        reply.problem = error.what();
    }
    reply.values.clear();
    return reply;
}

static PlatformStatus statusOf(const HttpResponse& response)
{
    if (response.status == ok)
        return PlatformStatus::Done;
    if (response.status >= firstClientError && response.status < firstServerError)
        return PlatformStatus::Refused;
    // The service tells of a lease that it doesn't know by a server error.
    return response.body.find("invalid session") == std::string::npos ? PlatformStatus::NoAnswer : PlatformStatus::Refused;
}

static PlatformReply readGrantReply(const HttpResponse& response)
{
    auto status = statusOf(response);
    if (status != PlatformStatus::Done)
        return { .status = status };
    auto json = parseJson(response.body);
    if (!json || !json->isObject() || !(*json)["ID"].isString())
        return {};
    return { .status = PlatformStatus::Done, .lease = PlatformLease((*json)["ID"].asString()) };
}

// Reads the answer to a write, whose body says "true" or "false".
static PlatformReply readWriteReply(const HttpResponse& response)
{
    auto status = statusOf(response);
    if (status != PlatformStatus::Done)
        return { .status = status };
    auto json = parseJson(response.body);
    if (!json || !json->isBool())
        return {};
    return { .status = json->asBool() ? PlatformStatus::Done : PlatformStatus::Refused };
}

PlatformReply readConsulReply(const PlatformOperation& operation, const HttpResponse& response)
{
    if (std::holds_alternative<ReadPrefix>(operation) || std::holds_alternative<WatchPrefix>(operation))
        return readListingReply(response);
    if (std::holds_alternative<WatchRoutes>(operation) || std::holds_alternative<ConfirmRoutes>(operation))
        return readRoutesReply(response);
    if (std::holds_alternative<GrantLease>(operation))
        return readGrantReply(response);
    if (std::holds_alternative<RenewLease>(operation))
        return { .status = statusOf(response) };
    return readWriteReply(response);
}

}
