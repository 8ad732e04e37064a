#include <Services/fulmard/BackendApi.h>

#include <LibControl/JsonText.h>
#include <LibModel/Error.h>

#include <algorithm>
#include <array>
#include <json/value.h>

namespace Fulmard {

using namespace Model;

namespace {

    constexpr uint32_t mostSlots = 10'000;
    constexpr double heaviestWeight = 1000;
    constexpr std::array<std::string_view, 7> knownKeys { "service", "profile", "endpoint", "incarnation", "slots", "weight", "phase" };

    class AnnouncementReader {
    public:
        AnnouncementReader(const std::string& id, const Json::Value& json)
            : m_id(id)
            , m_json(json)
        {
            if (!json.isObject())
                fail("body", "a JSON object");
            for (const auto& key : json.getMemberNames()) {
                if (std::ranges::find(knownKeys, key) == knownKeys.end())
                    fail(key, "service, profile, endpoint, incarnation, slots, weight, phase");
            }
        }

        std::string string(const char* key) const
        {
            if (!m_json[key].isString() || m_json[key].asString().empty())
                fail(key, "a text that is not empty");
            return m_json[key].asString();
        }

        Endpoint endpoint(const char* key) const
        {
            auto endpoint = Endpoint::parse(string(key));
            if (!endpoint)
                fail(key, "IP number and port");
            return *endpoint;
        }

        uint64_t wholeNumber(const char* key, uint64_t minimum, uint64_t maximum) const
        {
            if (!m_json[key].isUInt64() || m_json[key].asUInt64() < minimum || m_json[key].asUInt64() > maximum)
                fail(key, "whole numbers " + std::to_string(minimum) + " to " + std::to_string(maximum));
            return m_json[key].asUInt64();
        }

        double weight() const
        {
            if (!m_json.isMember("weight"))
                return 1;
            if (!m_json["weight"].isNumeric() || !(m_json["weight"].asDouble() > 0) || m_json["weight"].asDouble() > heaviestWeight)
                fail("weight", "numbers above 0 up to 1000");
            return m_json["weight"].asDouble();
        }

        BackendPhase phase() const
        {
            if (!m_json.isMember("phase"))
                return BackendPhase::Serving;
            auto phase = enumFromName<BackendPhase>(string("phase"));
            if (!phase || *phase == BackendPhase::Gone)
                fail("phase", "warming, serving, draining");
            return *phase;
        }

        ProfileName profile() const { return m_json.isMember("profile") ? ProfileName(string("profile")) : ProfileName(); }

    private:
        [[noreturn]] void fail(const std::string& key, const std::string& allowed) const
        {
            throw Error("announce", m_id, key + ": impossible or unknown; allowed: " + allowed);
        }

        const std::string& m_id;
        const Json::Value& m_json;
    };

}

BackendAnnouncement readAnnouncement(const std::string& id, std::string_view json)
{
    auto parsed = Control::parseJson(json);
    AnnouncementReader reader(id, parsed);
    BackendAnnouncement announcement;
    announcement.id = BackendId(id);
    announcement.service = ServiceName(reader.string("service"));
    announcement.profile = reader.profile();
    announcement.endpoint = reader.endpoint("endpoint");
    announcement.incarnation = Incarnation(reader.wholeNumber("incarnation", 1, UINT64_MAX));
    announcement.slots = reader.wholeNumber("slots", 1, mostSlots);
    announcement.weight = reader.weight();
    announcement.phase = reader.phase();
    return announcement;
}

}
