#include <Utilities/fulmarctl/InForce.h>

#include <LibModel/Error.h>

namespace FulmarCtl {

namespace {

    ProfileRevision readRevision(const Json::Value& json)
    {
        return { ProfileName(json["name"].asString()), Revision(json["revision"].asUInt64()), PublishId(json["publishId"].asString()),
            json["author"].asString(), json["document"].asString() };
    }

}

std::optional<ProfileRevision> findInForce(FleetClient& fleet, const ProfileName& name)
{
    for (const auto& node : fleet.settings().nodes) {
        try {
            for (const auto& profile : fleet.call(node, "GET", "/v1/profiles")) {
                if (profile["name"].asString() == name.value())
                    return readRevision(profile);
            }
            return std::nullopt;
        } catch (const Model::Error&) {
            // The next process may answer; the platform decides anyway.
        }
    }
    return std::nullopt;
}

}
