#pragma once

#include <LibModel/Profile.h>
#include <LibModel/RouteTable.h>

#include <string>
#include <unordered_map>
#include <vector>

namespace Decision {

using namespace Model;

// A profile in force, parsed, with the revision that it came from.
struct ProfileInForce {
    Profile profile;
    ProfileRevision revision;
};

// The profiles in force at this process. Only Configuration and RouteBook change it; every part reads it.
class ProfileBook {
public:
    explicit ProfileBook(Profile defaults = {});

    // Gives the profile in force. If none of that name was ever accepted, gives the defaults, with the published terms
    // of the service of that name if there are any.
    const Profile& profile(const ProfileName&) const;
    // Gives revision 0 if the built-in defaults are in force.
    Revision revision(const ProfileName&) const;
    // Gives nothing if none of that name was ever accepted.
    const ProfileInForce* find(const ProfileName&) const;
    std::vector<const ProfileInForce*> all() const;

    void put(ProfileInForce);
    void setDefaults(Profile defaults) { m_defaults = std::move(defaults); }
    // Takes what operators published of a service beside its routes.
    void putTerms(const ServiceTerms&);

private:
    std::unordered_map<ProfileName, ProfileInForce> m_profiles;
    std::unordered_map<ProfileName, Profile> m_byTerms;
    Profile m_defaults;
};

}
