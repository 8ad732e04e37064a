#include <LibDecision/Configuration/ProfileRegistry.h>

namespace Decision {

ProfileRegistry::ProfileRegistry(Profile defaults)
    : m_defaults(std::move(defaults))
{
}

const Profile& ProfileRegistry::profile(const ProfileName& name) const
{
    auto inForce = find(name);
    if (inForce)
        return inForce->profile;
    auto serviceProfile = m_serviceProfiles.find(name);
    return serviceProfile == m_serviceProfiles.end() ? m_defaults : serviceProfile->second;
}

Revision ProfileRegistry::revision(const ProfileName& name) const
{
    auto inForce = find(name);
    return inForce ? inForce->revision.revision : Revision {};
}

const ProfileInForce* ProfileRegistry::find(const ProfileName& name) const
{
    auto entry = m_profiles.find(name);
    return entry == m_profiles.end() ? nullptr : &entry->second;
}

std::vector<const ProfileInForce*> ProfileRegistry::all() const
{
    std::vector<const ProfileInForce*> profiles;
    profiles.reserve(m_profiles.size());
    for (const auto& [name, inForce] : m_profiles)
        profiles.push_back(&inForce);
    return profiles;
}

void ProfileRegistry::putServiceTerms(const ServiceTerms& terms)
{
    auto profile = m_defaults;
    profile.name = ProfileName(terms.name.value());
    profile.health.probePath = terms.healthPath;
    profile.capacity.connections = terms.maximumConnections;
    m_serviceProfiles.insert_or_assign(profile.name, std::move(profile));
}

void ProfileRegistry::put(ProfileInForce inForce)
{
    auto name = inForce.revision.name;
    m_profiles.insert_or_assign(name, std::move(inForce));
}

}
