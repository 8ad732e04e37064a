#pragma once

#include <LibModel/Profile.h>

#include <string>
#include <string_view>

namespace Decision {

using namespace Model;

// Prefixes of the platform's keys for the current revision of each profile, and for all accepted revisions.
inline constexpr std::string_view profileKeyPrefix = "profiles/";
inline constexpr std::string_view historyKeyPrefix = "history/";

// Maximum encoded size of a revision in a rumor, so that every revision fits into one message.
inline constexpr size_t maximumRevisionBytes = 50 * 1024;

std::string profileKey(const ProfileName&);
std::string historyKey(const ProfileName&, Revision);

// Encodes a revision as the YAML text that is stored at the platform.
std::string encodeProfileRevision(const ProfileRevision&);

// Decodes the text written by encodeProfileRevision(). The key is the platform's key of the text; the name and revision
// must match it. Throws DocumentError if the text is malformed or doesn't match the key.
ProfileRevision decodeProfileRevision(std::string_view text, const std::string& key);

// Parses and validates the document of the revision. Throws DocumentError if the document is invalid, is too long or
// contains a profile of another name.
Profile parseAndCheckProfile(const ProfileRevision&);

}
