#include <LibDecision/Configuration/ProfileRevisionText.h>

#include <LibDecision/Membership/RecordSize.h>
#include <LibModel/Error.h>
#include <LibModel/YamlReader.h>

namespace Decision {

std::string profileKey(const ProfileName& name)
{
    return std::string(profileKeyPrefix) + name.value();
}

std::string historyKey(const ProfileName& name, Revision revision)
{
    return std::string(historyKeyPrefix) + name.value() + "/" + std::to_string(revision.value());
}

std::string encodeProfileRevision(const ProfileRevision& revision)
{
    YAML::Emitter emitter;
    emitter << YAML::BeginMap;
    emitter << YAML::Key << "name" << YAML::Value << YAML::DoubleQuoted << revision.name.value();
    emitter << YAML::Key << "revision" << YAML::Value << revision.revision.value();
    emitter << YAML::Key << "publish-id" << YAML::Value << YAML::DoubleQuoted << revision.publishId.value();
    emitter << YAML::Key << "author" << YAML::Value << YAML::DoubleQuoted << revision.author;
    emitter << YAML::Key << "document" << YAML::Value << YAML::DoubleQuoted << revision.document;
    emitter << YAML::EndMap;
    return std::string(emitter.c_str()) + "\n";
}

ProfileRevision decodeProfileRevision(std::string_view text, const std::string& key)
{
    auto reader = YamlReader::parse(text, key);
    ProfileRevision revision;
    revision.name = ProfileName(reader.string("name"));
    revision.revision = Revision(reader.wholeNumber("revision", 1, std::numeric_limits<uint64_t>::max(), 0));
    revision.publishId = PublishId(reader.string("publish-id"));
    revision.author = reader.stringOr("author", "");
    revision.document = reader.string("document");
    reader.finish();
    if (revision.revision == Revision {})
        reader.fail("revision", "missing", "whole numbers from 1");
    if (key != profileKey(revision.name) && key != historyKey(revision.name, revision.revision))
        reader.fail("name", "does not match the key", "the name and revision in the key");
    return revision;
}

Profile parseAndCheckProfile(const ProfileRevision& revision)
{
    auto file = profileKey(revision.name);
    auto size = estimatedSize(Rumor { revision });
    if (size > maximumRevisionBytes)
        throw DocumentError(file, 0, "document", std::to_string(size) + " bytes long when encoded", "at most " + std::to_string(maximumRevisionBytes) + " bytes");
    auto profile = parseProfile(revision.document, file);
    if (profile.name != revision.name)
        throw DocumentError(file, 1, "name", "is \"" + profile.name.value() + "\"", revision.name.value());
    return profile;
}

}
