#include <Tests/StandIns/StandInRevisionStore.h>

#include <LibPlatform/Base64.h>
#include <Tests/StandIns/Json.h>

#include <algorithm>

namespace StandIns {

using Transport::HttpRequest;
using Transport::HttpResponse;

namespace {

    std::string queryValue(const std::string& target, const std::string& name) { return queryParameter(target, name).value_or(""); }

    uint64_t queryNumber(const std::string& target, const std::string& name)
    {
        auto text = queryValue(target, name);
        return text.empty() ? 0 : std::stoull(text);
    }

    Json::Value bodyOf(const HttpRequest& request) { return parseObject(request.body).value_or(Json::Value(Json::objectValue)); }

}

StandInRevisionStore::StandInRevisionStore(Transport::EventLoop& loop, const Model::Endpoint& listen)
    : m_loop(loop)
{
    Transport::HttpServerOptions options;
    options.listen = listen;
    options.onRequest = [this](Transport::ServerRequestId id, const HttpRequest& request) { receive(id, request); };
    options.onRequestGone = [this](Transport::ServerRequestId id) { m_watches.erase(id); };
    m_server = std::make_unique<Transport::HttpServer>(loop, std::move(options));
}

StandInRevisionStore::~StandInRevisionStore()
{
    for (const auto& [id, watch] : m_watches)
        m_loop.cancelTimer(watch.timer);
}

void StandInRevisionStore::put(const std::string& key, const std::string& value)
{
    auto& item = m_state.items[key];
    item.value = value;
    item.revision = ++m_state.revision;
    if (item.created == 0)
        item.created = m_state.revision;
    wakeWatches();
}

void StandInRevisionStore::restoreCopy()
{
    m_state = m_copy;
    ++m_era;
}

void StandInRevisionStore::respond(Transport::ServerRequestId id, HttpResponse response)
{
    response.headers.push_back({ "store-era", std::to_string(m_era) });
    m_server->respond(id, std::move(response));
}

void StandInRevisionStore::dropHistory() { m_historySince = m_state.revision; }

Json::Value StandInRevisionStore::describe(const std::string& key, const Item& item) const
{
    Json::Value json;
    json["key"] = key;
    json["value"] = Platform::encodeBase64(item.value);
    json["revision"] = static_cast<Json::UInt64>(item.revision);
    json["created"] = static_cast<Json::UInt64>(item.created);
    json["lease"] = static_cast<Json::UInt64>(item.lease);
    return json;
}

void StandInRevisionStore::receive(Transport::ServerRequestId id, const HttpRequest& request)
{
    const auto& target = request.target;
    auto answer = [&](HttpResponse response) { respond(id, std::move(response)); };
    auto leaseOf = [&] { return std::stoull(target.substr(target.rfind('/') + 1)); };
    auto isHeld = [&](uint64_t lease) { return std::ranges::find(m_state.leases, lease) != m_state.leases.end(); };
    if (m_refusal)
        return answer({ m_refusal, {}, "" });
    if (target.starts_with("/fulmarsail/kv-range")) {
        answer(jsonResponse(range(queryValue(target, "prefix"), queryValue(target, "after"))));
        if (m_pagesUntilRestore > 0 && --m_pagesUntilRestore == 0)
            restoreCopy();
        return;
    }
    if (target.starts_with("/fulmarsail/kv-watch"))
        return startWatch(id, queryValue(target, "prefix"), queryNumber(target, "after"), queryNumber(target, "waitMs"));
    if (target == "/fulmarsail/kv-txn")
        return answer(transact(bodyOf(request)));
    if (target == "/fulmarsail/kv-lease") {
        m_state.leases.push_back(++m_state.lastLease);
        auto json = bodyOf(request);
        json["lease"] = static_cast<Json::UInt64>(m_state.lastLease);
        return answer(jsonResponse(json));
    }
    if (target.starts_with("/fulmarsail/kv-keep/"))
        return answer({ static_cast<uint16_t>(isHeld(leaseOf()) ? 200 : 404), {}, "{}" });
    if (target.starts_with("/fulmarsail/kv-lease-end/")) {
        endLease(leaseOf());
        return answer({ 200, {}, "{}" });
    }
    answer({ 404, {}, "" });
}

Json::Value StandInRevisionStore::range(const std::string& prefix, const std::string& after) const
{
    Json::Value json;
    json["items"] = Json::Value(Json::arrayValue);
    json["hasMore"] = false;
    json["at"] = static_cast<Json::UInt64>(m_state.revision);
    for (auto item = after.empty() ? m_state.items.lower_bound(prefix) : m_state.items.upper_bound(after); item != m_state.items.end() && item->first.starts_with(prefix); ++item) {
        if (json["items"].size() == m_pageSize) {
            json["hasMore"] = true;
            break;
        }
        json["items"].append(describe(item->first, item->second));
    }
    return json;
}

void StandInRevisionStore::startWatch(Transport::ServerRequestId id, const std::string& prefix, uint64_t after, uint64_t waitMilliseconds)
{
    if (after < m_historySince || after > m_state.revision)
        return respond(id, { 410, {}, "" });
    if (answerWatch(id, prefix, after, false))
        return;
    auto timer = m_loop.callAt(m_loop.now() + std::chrono::milliseconds(waitMilliseconds), [this, id] {
        auto watch = m_watches.extract(id);
        if (watch)
            answerWatch(id, watch.mapped().prefix, watch.mapped().after, true);
    });
    m_watches[id] = { prefix, after, timer };
}

bool StandInRevisionStore::answerWatch(Transport::ServerRequestId id, const std::string& prefix, uint64_t after, bool isOver)
{
    Json::Value json;
    json["events"] = Json::Value(Json::arrayValue);
    json["at"] = static_cast<Json::UInt64>(m_state.revision);
    for (const auto& [key, item] : m_state.items) {
        if (key.starts_with(prefix) && item.revision > after)
            json["events"].append(describe(key, item));
    }
    if (json["events"].empty() && !isOver)
        return false;
    respond(id, jsonResponse(json));
    return true;
}

void StandInRevisionStore::wakeWatches()
{
    std::erase_if(m_watches, [this](const auto& entry) {
        const auto& [id, watch] = entry;
        if (!answerWatch(id, watch.prefix, watch.after, false))
            return false;
        m_loop.cancelTimer(watch.timer);
        return true;
    });
}

HttpResponse StandInRevisionStore::transact(const Json::Value& transaction)
{
    for (const auto& condition : transaction["expectedRevision"]) {
        auto item = m_state.items.find(condition["key"].asString());
        auto revision = item == m_state.items.end() ? 0 : item->second.revision;
        if (revision != condition["revision"].asUInt64())
            return { 412, {}, "{}" };
    }
    for (const auto& write : transaction["puts"]) {
        auto lease = write["lease"].asUInt64();
        if (lease && std::ranges::find(m_state.leases, lease) == m_state.leases.end())
            return { 404, {}, "{}" };
        put(write["key"].asString(), Platform::decodeBase64(write["value"].asString()).value_or(""));
        m_state.items[write["key"].asString()].lease = lease;
    }
    Json::Value json;
    json["revision"] = static_cast<Json::UInt64>(m_state.revision);
    return jsonResponse(json);
}

void StandInRevisionStore::endLease(uint64_t lease)
{
    std::erase(m_state.leases, lease);
    std::erase_if(m_state.items, [lease](const auto& item) { return item.second.lease == lease; });
    ++m_state.revision;
}

}
