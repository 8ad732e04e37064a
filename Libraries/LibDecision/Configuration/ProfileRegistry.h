#pragma once

#include <LibModel/Profile.h>
#include <LibModel/RouteTable.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace Decision {

using namespace Model;

// A parsed profile that is in force, and the revision that it was parsed from.
struct ProfileInForce {
    Profile profile;
    ProfileRevision revision;
};

// The profiles that are in force at this process. Only ProfileConfiguration and RouteConfiguration modify it; every
// component reads it.
class ProfileRegistry {
public:
    explicit ProfileRegistry(Profile defaults = {});

    // Returns the profile in force. If no profile of that name was adopted, returns the defaults, combined with the
    // published terms of the service of that name if there are any.
    const Profile& profile(const ProfileName&) const;
    // Returns 0 if no profile of that name was adopted.
    Revision revision(const ProfileName&) const;
    // Returns null if no profile of that name was adopted.
    const ProfileInForce* find(const ProfileName&) const;
    std::vector<const ProfileInForce*> all() const;

    void put(ProfileInForce);
    void setDefaults(Profile defaults) { m_defaults = std::move(defaults); }
    // Applies the terms of a service that operators published in the route table. They override the defaults.
    void putServiceTerms(const ServiceTerms&);

private:
    std::unordered_map<ProfileName, ProfileInForce> m_profiles;
    std::unordered_map<ProfileName, Profile> m_serviceProfiles;
    Profile m_defaults;
};

}
