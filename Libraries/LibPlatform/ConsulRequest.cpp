#include <LibPlatform/ConsulRequest.h>

#include <LibPlatform/PercentEncoding.h>

#include <json/value.h>
#include <json/writer.h>

namespace Platform {

using Transport::HttpRequest;

static std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(duration).count()) + "ms";
}

static HttpRequest request(std::string method, std::string target, std::string body = {})
{
    HttpRequest result;
    result.method = std::move(method);
    result.target = std::move(target);
    result.body = std::move(body);
    return result;
}

static std::string keyTarget(const std::string& key, const std::string& query) { return "/v1/kv/" + percentEncoded(key) + "?" + query; }

static HttpRequest format(const ReadPrefix& read) { return request("GET", keyTarget(read.prefix, "recurse")); }

static HttpRequest format(const WatchPrefix& watch)
{
    return request("GET", keyTarget(watch.prefix, "recurse&index=" + std::to_string(watch.index) + "&wait=" + milliseconds(watch.wait)));
}

static HttpRequest format(const WatchRoutes& watch)
{
    return request("GET", keyTarget(std::string(routesKey), "recurse&index=" + std::to_string(watch.index) + "&wait=" + milliseconds(watch.wait)));
}

static HttpRequest format(const ConfirmRoutes&) { return request("GET", keyTarget(std::string(routesKey), "recurse&consistent")); }

static HttpRequest format(const CompareAndSwap& swap)
{
    return request("PUT", keyTarget(swap.key, "cas=" + std::to_string(swap.expected.value())), swap.value);
}

static HttpRequest format(const GrantLease& grant)
{
    Json::Value body;
    body["Name"] = grant.name;
    body["TTL"] = milliseconds(grant.timeToLive);
    // Without it, a key couldn't be acquired for a while after its holder's session ended.
    body["LockDelay"] = "0s";
    body["Behavior"] = "release";
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return request("PUT", "/v1/session/create", Json::writeString(builder, body));
}

static HttpRequest format(const RenewLease& renewal) { return request("PUT", "/v1/session/renew/" + percentEncoded(renewal.lease.value())); }

static HttpRequest format(const RevokeLease& revocation) { return request("PUT", "/v1/session/destroy/" + percentEncoded(revocation.lease.value())); }

static HttpRequest format(const AcquireKey& acquisition)
{
    return request("PUT", keyTarget(acquisition.key, "acquire=" + percentEncoded(acquisition.lease.value())), acquisition.value);
}

static HttpRequest format(const ReleaseKey& release)
{
    return request("PUT", keyTarget(release.key, "release=" + percentEncoded(release.lease.value())), release.value);
}

HttpRequest formatConsulRequest(const PlatformOperation& operation)
{
    return std::visit([](const auto& specific) { return format(specific); }, operation);
}

bool isRead(const PlatformOperation& operation)
{
    return std::holds_alternative<ReadPrefix>(operation) || std::holds_alternative<WatchPrefix>(operation) || std::holds_alternative<WatchRoutes>(operation)
        || std::holds_alternative<ConfirmRoutes>(operation);
}

Duration expectedWait(const PlatformOperation& operation)
{
    return std::visit([](const auto& specific) {
        if constexpr (requires { specific.wait; }) {
            // The service lengthens a wait by up to a sixteenth, so that watches don't all end at once.
            return specific.index != 0 ? specific.wait + specific.wait / 16 : Duration(0);
        } else {
            return Duration(0);
        }
    },
        operation);
}

}
