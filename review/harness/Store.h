#pragma once

#include <review/harness/Connection.h>

#include <condition_variable>
#include <json/json.h>
#include <memory>

// A stand-in for the platform's metadata store.
namespace Review {

inline std::string base64(const std::string& bytes)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t i = 0; i < bytes.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        for (size_t j = 0; j < 4; ++j)
            text += i + j <= bytes.size() ? digits[group >> (18 - 6 * j) & 63] : '=';
    }
    return text;
}

inline std::string formatJson(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

inline std::string response(int status, const std::string& body, const std::string& headers = "content-type: application/json\r\n")
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers + "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The platform's store: keys with revisions, watches, conditional writes. Leases are granted and never end.
class Store {
public:
    Store(std::string ip, uint16_t port)
        : m_listener(std::move(ip), port, [this](Connection& connection) { serve(connection); })
    {
    }
    ~Store() { stop(); }
    void stop()
    {
        m_isStopping = true;
        m_changed.notify_all();
        m_listener.close();
    }

    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(m_mutex);
        write(key, base64(value));
        m_changed.notify_all();
    }

private:
    struct Item {
        std::string value;
        uint64_t revision { 0 };
        uint64_t created { 0 };
    };

    void write(const std::string& key, const std::string& text)
    {
        auto& item = m_items[key];
        item.value = text;
        item.revision = ++m_revision;
        if (!item.created)
            item.created = m_revision;
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        auto query = target.find('?');
        while (query != std::string::npos) {
            auto begin = query + 1;
            query = target.find('&', begin);
            auto pair = target.substr(begin, query == std::string::npos ? std::string::npos : query - begin);
            if (!pair.starts_with(name + "="))
                continue;
            std::string value;
            for (size_t i = name.size() + 1; i < pair.size(); ++i) {
                if (pair[i] == '%' && i + 2 < pair.size()) {
                    value += static_cast<char>(std::stoi(pair.substr(i + 1, 2), nullptr, 16));
                    i += 2;
                } else
                    value += pair[i];
            }
            return value;
        }
        return "";
    }

    Json::Value describe(const std::string& key, const Item& item) const
    {
        Json::Value json;
        json["key"] = key;
        json["value"] = item.value;
        json["revision"] = Json::UInt64(item.revision);
        json["created"] = Json::UInt64(item.created);
        json["lease"] = 0;
        return json;
    }

    Json::Value list(const std::string& field, const std::string& prefix, const std::string& after, uint64_t since) const
    {
        Json::Value json;
        json[field] = Json::arrayValue;
        json["hasMore"] = false;
        json["at"] = Json::UInt64(m_revision);
        for (const auto& [key, item] : m_items) {
            if (key.starts_with(prefix) && key > after && item.revision > since)
                json[field].append(describe(key, item));
        }
        return json;
    }

    std::string transact(const std::string& body)
    {
        Json::Value json;
        std::string errors;
        std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        if (!reader->parse(body.data(), body.data() + body.size(), &json, &errors))
            return response(400, "{}");
        std::lock_guard lock(m_mutex);
        bool holds = true;
        Json::Value current = Json::arrayValue;
        for (const auto& row : json["expectedRevision"]) {
            auto entry = m_items.find(row["key"].asString());
            auto revision = entry == m_items.end() ? 0 : entry->second.revision;
            holds = holds && revision == row["revision"].asUInt64();
            if (entry != m_items.end())
                current.append(describe(entry->first, entry->second));
        }
        Json::Value answer;
        if (!holds) {
            answer["items"] = current;
            return response(412, formatJson(answer));
        }
        for (const auto& row : json["puts"])
            write(row["key"].asString(), row["value"].asString());
        for (const auto& key : json["remove"])
            m_items.erase(key.asString());
        m_changed.notify_all();
        answer["revision"] = Json::UInt64(m_revision);
        return response(200, formatJson(answer));
    }

    std::string watch(const std::string& target)
    {
        auto prefix = parameter(target, "prefix");
        auto after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        auto wait = std::chrono::milliseconds(std::strtoull(parameter(target, "waitMs").c_str(), nullptr, 10));
        std::unique_lock lock(m_mutex);
        Json::Value json;
        m_changed.wait_for(lock, wait, [&] {
            json = list("events", prefix, "", after);
            return m_isStopping || !json["events"].empty();
        });
        json.removeMember("hasMore");
        return response(200, formatJson(json));
    }

    void serve(Connection& connection)
    {
        while (!m_isStopping) {
            auto request = readMessage(connection, Clock::now() + 200ms);
            if (!request.isWhole) {
                if (!connection.end().empty())
                    return;
                continue;
            }
            auto begin = request.start.find(' ') + 1;
            auto target = request.start.substr(begin, request.start.rfind(' ') - begin);
            std::string answer;
            if (target.starts_with("/fulmarsail/kv-range")) {
                std::lock_guard lock(m_mutex);
                answer = response(200, formatJson(list("items", parameter(target, "prefix"), parameter(target, "after"), 0)));
            } else if (target.starts_with("/fulmarsail/kv-watch"))
                answer = watch(target);
            else if (target == "/fulmarsail/kv-txn")
                answer = transact(request.body);
            else
                answer = response(404, "{}");
            if (!connection.send(answer))
                return;
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_isStopping { false };
    std::map<std::string, Item> m_items;
    uint64_t m_revision { 1 };
    Listener m_listener;
};

}
