#pragma once

#include <review/harness-2/Record.h>

#include <atomic>
#include <condition_variable>
#include <json/json.h>
#include <map>
#include <memory>
#include <set>
#include <thread>

namespace Review {

inline std::string encodeBase64(const std::string& text)
{
    static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (size_t i = 0; i < text.size(); i += 3) {
        uint32_t group = 0;
        for (size_t j = 0; j < 3; ++j)
            group = group << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        for (size_t j = 0; j < 4; ++j)
            result += i + j > text.size() ? '=' : digits[group >> (18 - 6 * j) & 63];
    }
    return result;
}

inline std::string percentDecoded(std::string_view text)
{
    std::string result;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

inline std::string queryValue(const std::string& target, const std::string& name)
{
    auto query = target.find('?');
    std::string_view rest = query == std::string::npos ? std::string_view {} : std::string_view(target).substr(query + 1);
    while (!rest.empty()) {
        auto end = std::min(rest.find('&'), rest.size());
        auto field = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        if (field.starts_with(name + "="))
            return percentDecoded(field.substr(name.size() + 1));
    }
    return {};
}

inline std::string formatJson(const Json::Value& json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

// The platform's metadata store as PROTOCOL.md describes it. Every machine has an address of its own for it, so that the
// store can tell them apart.
class Store {
public:
    explicit Store(Record& record)
        : m_record(record)
    {
    }

    // Answers to every machine travel over a link of this rate, as many megabits a second as the settings' linkMbps.
    void setLinkMbps(double megabits)
    {
        constexpr double bytesPerMegabit = 125000;
        m_bytesPerSecond = megabits * bytesPerMegabit;
    }

    Address listenFor(const std::string& machine, const std::string& ip)
    {
        Address address { ip, freePort(ip) };
        int listener = listenOn(address);
        std::thread([this, listener, machine] {
            while (true) {
                int descriptor = accept(listener, nullptr, nullptr);
                if (descriptor != -1)
                    std::thread([this, descriptor, machine] { serve(descriptor, machine); }).detach();
            }
        }).detach();
        return address;
    }

    // The operator's write; returns when the store has it.
    void put(const std::string& key, const std::string& value)
    {
        std::scoped_lock lock(m_mutex);
        set(key, value, 0);
    }

    // Until the end of the silence no call of these machines is answered, and a connection on which an answer was lost
    // returns nothing further. Calls that arrive later are answered. An empty set means every machine.
    void beginSilence(std::set<std::string> machines = {})
    {
        std::scoped_lock lock(m_mutex);
        m_isSilent = true;
        m_silenced = std::move(machines);
        ++m_silences;
        m_changed.notify_all();
    }

    void endSilence()
    {
        std::scoped_lock lock(m_mutex);
        m_isSilent = false;
    }

    // Machines whose watch of the operator's configuration waits.
    std::set<std::string> watchers()
    {
        std::scoped_lock lock(m_mutex);
        std::set<std::string> result;
        for (const auto& [machine, count] : m_watching) {
            if (count > 0)
                result.insert(machine);
        }
        return result;
    }

private:
    struct Item {
        std::string value;
        uint64_t revision { 0 };
        uint64_t created { 0 };
        uint64_t lease { 0 };
    };

    // All of a machine's answers share its link.
    bool writePaced(const Stream& stream, const std::string& machine, std::string_view text)
    {
        constexpr size_t piece = 16 << 10;
        while (m_bytesPerSecond > 0 && text.size() > piece) {
            Clock::time_point sentAt;
            {
                std::scoped_lock lock(m_mutex);
                auto& free = m_linkFreeAt[machine];
                free = std::max(free, Clock::now()) + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(piece / m_bytesPerSecond));
                sentAt = free;
            }
            std::this_thread::sleep_until(sentAt);
            if (stream.isClosedByPeer() || !stream.write(text.substr(0, piece)))
                return false;
            text.remove_prefix(piece);
        }
        return stream.write(text);
    }

    bool isSilencedFor(const std::string& machine) const { return m_isSilent && (m_silenced.empty() || m_silenced.contains(machine)); }

    void set(const std::string& key, const std::string& value, uint64_t lease)
    {
        auto& item = m_items[key];
        item.value = value;
        item.revision = ++m_revision;
        item.lease = lease;
        if (item.created == 0)
            item.created = m_revision;
        m_changed.notify_all();
    }

    void remove(const std::string& key)
    {
        m_items.erase(key);
        m_removed[key] = ++m_revision;
        m_changed.notify_all();
    }

    void expireLeases()
    {
        for (auto lease = m_leases.begin(); lease != m_leases.end();) {
            if (lease->second.until > Clock::now()) {
                ++lease;
                continue;
            }
            endLease(lease->first);
            lease = m_leases.erase(lease);
        }
    }

    void endLease(uint64_t lease)
    {
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease)
                keys.push_back(key);
        }
        for (const auto& key : keys)
            remove(key);
    }

    static Json::Value describe(const std::string& key, const Item& item)
    {
        Json::Value json;
        json["key"] = key;
        json["value"] = encodeBase64(item.value);
        json["revision"] = Json::UInt64(item.revision);
        json["created"] = Json::UInt64(item.created);
        json["lease"] = Json::UInt64(item.lease);
        return json;
    }

    void serve(int descriptor, const std::string& machine)
    {
        Stream stream(descriptor);
        while (auto request = stream.read(Clock::now() + std::chrono::hours(1))) {
            std::unique_lock lock(m_mutex);
            expireLeases();
            bool isSilenced = isSilencedFor(machine);
            auto silences = m_silences;
            auto answer = isSilenced ? std::string() : reply(*request, machine, lock, stream);
            // The answer to a call that waited when the silence began is lost.
            isSilenced |= silences != m_silences && (m_silenced.empty() || m_silenced.contains(machine));
            if (isSilenced) {
                m_record.write("store: " + machine + " gets no answer to " + request->method() + " " + request->target().substr(0, 60));
                lock.unlock();
                while (!stream.isClosedByPeer())
                    std::this_thread::sleep_for(Milliseconds(50));
                return;
            }
            lock.unlock();
            if (answer.empty() || !writePaced(stream, machine, answer))
                return;
        }
    }

    std::string reply(const Message& request, const std::string& machine, std::unique_lock<std::mutex>& lock, const Stream& stream)
    {
        auto target = request.target();
        auto path = target.substr(0, target.find('?'));
        auto number = [&] { return std::stoull(path.substr(path.rfind('/') + 1)); };
        auto json = [](const Json::Value& value) { return formatResponse(200, "Content-Type: application/json\r\n", formatJson(value)); };
        Json::Value body;
        if (!request.body.empty())
            Json::Reader().parse(request.body, body);
        if (path == "/fulmarsail/kv-range")
            return json(range(queryValue(target, "prefix"), queryValue(target, "after")));
        if (path == "/fulmarsail/kv-key") {
            auto item = m_items.find(queryValue(target, "key"));
            if (item == m_items.end())
                return formatResponse(404, "", "");
            auto result = describe(item->first, item->second);
            result["at"] = Json::UInt64(m_revision);
            return json(result);
        }
        if (path == "/fulmarsail/kv-watch")
            return watch(target, machine, lock, stream);
        if (path == "/fulmarsail/kv-txn")
            return transact(body);
        if (path == "/fulmarsail/kv-lease") {
            auto id = ++m_lastLease;
            m_leases[id] = { Clock::now() + Milliseconds(body["ttlMs"].asUInt64()), body["ttlMs"].asUInt64() };
            body["lease"] = Json::UInt64(id);
            return json(body);
        }
        if (path.starts_with("/fulmarsail/kv-keep/")) {
            auto lease = m_leases.find(number());
            if (lease == m_leases.end())
                return formatResponse(404, "", "");
            lease->second.until = Clock::now() + Milliseconds(lease->second.timeToLive);
            Json::Value result;
            result["ttlMs"] = Json::UInt64(lease->second.timeToLive);
            return json(result);
        }
        if (path.starts_with("/fulmarsail/kv-lease-end/")) {
            endLease(number());
            m_leases.erase(number());
            return json(Json::Value(Json::objectValue));
        }
        return formatResponse(404, "", "");
    }

    Json::Value range(const std::string& prefix, const std::string& after) const
    {
        Json::Value json;
        json["items"] = Json::Value(Json::arrayValue);
        json["hasMore"] = false;
        json["at"] = Json::UInt64(m_revision);
        for (const auto& [key, item] : m_items) {
            if (key.starts_with(prefix) && key > after)
                json["items"].append(describe(key, item));
        }
        return json;
    }

    std::string watch(const std::string& target, const std::string& machine, std::unique_lock<std::mutex>& lock, const Stream& stream)
    {
        auto prefix = queryValue(target, "prefix");
        auto after = std::stoull(queryValue(target, "after"));
        auto end = Clock::now() + Milliseconds(std::stoull(queryValue(target, "waitMs")));
        auto silences = m_silences;
        bool isOfOperator = prefix.starts_with("op/");
        m_watching[machine] += isOfOperator ? 1 : 0;
        Json::Value json;
        while (true) {
            json["events"] = Json::Value(Json::arrayValue);
            for (const auto& [key, item] : m_items) {
                if (key.starts_with(prefix) && item.revision > after)
                    json["events"].append(describe(key, item));
            }
            for (const auto& [key, revision] : m_removed) {
                if (!key.starts_with(prefix) || revision <= after)
                    continue;
                Json::Value event;
                event["key"] = key;
                event["revision"] = Json::UInt64(revision);
                event["removed"] = true;
                json["events"].append(event);
            }
            bool isLost = m_silences != silences && (m_silenced.empty() || m_silenced.contains(machine));
            if (isLost || !json["events"].empty() || Clock::now() >= end || stream.isClosedByPeer())
                break;
            m_changed.wait_until(lock, std::min(end, Clock::now() + Milliseconds(100)));
        }
        m_watching[machine] -= isOfOperator ? 1 : 0;
        json["at"] = Json::UInt64(m_revision);
        return formatResponse(200, "Content-Type: application/json\r\n", formatJson(json));
    }

    std::string transact(const Json::Value& body)
    {
        Json::Value json;
        for (const auto& condition : body["expectedRevision"]) {
            auto item = m_items.find(condition["key"].asString());
            auto revision = item == m_items.end() ? 0 : item->second.revision;
            if (revision == condition["revision"].asUInt64())
                continue;
            json["items"] = Json::Value(Json::arrayValue);
            return formatResponse(412, "Content-Type: application/json\r\n", formatJson(json));
        }
        for (const auto& entry : body["puts"]) {
            if (entry["lease"].asUInt64() != 0 && !m_leases.contains(entry["lease"].asUInt64()))
                return formatResponse(404, "", "");
        }
        for (const auto& entry : body["puts"])
            set(entry["key"].asString(), decode(entry["value"].asString()), entry["lease"].asUInt64());
        for (const auto& key : body["remove"])
            remove(key.asString());
        json["revision"] = Json::UInt64(m_revision);
        return formatResponse(200, "Content-Type: application/json\r\n", formatJson(json));
    }

    static std::string decode(const std::string& text)
    {
        static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        uint32_t group = 0;
        int bits = 0;
        for (char character : text) {
            auto digit = digits.find(character);
            if (digit == std::string::npos)
                break;
            group = group << 6 | static_cast<uint32_t>(digit);
            bits += 6;
            if (bits >= 8) {
                bits -= 8;
                result += static_cast<char>(group >> bits & 255);
            }
        }
        return result;
    }

    struct Lease {
        Clock::time_point until;
        uint64_t timeToLive { 0 };
    };

    Record& m_record;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::string, uint64_t> m_removed;
    std::map<uint64_t, Lease> m_leases;
    std::map<std::string, int> m_watching;
    uint64_t m_revision { 100 };
    uint64_t m_lastLease { 0 };
    bool m_isSilent { false };
    std::set<std::string> m_silenced;
    uint64_t m_silences { 0 };
    double m_bytesPerSecond { 0 };
    std::map<std::string, Clock::time_point> m_linkFreeAt;
};

}
