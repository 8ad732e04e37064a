#include <Utilities/fulmarctl/AmendedDocument.h>

#include <LibModel/Error.h>
#include <LibModel/Profile.h>

#include <yaml-cpp/yaml.h>

namespace FulmarCtl {

std::string amendDocument(const std::string& document, std::string_view assignment)
{
    auto equals = assignment.find('=');
    auto dot = assignment.find('.');
    if (equals == std::string_view::npos || dot == std::string_view::npos || dot > equals)
        throw Model::Error("amend", "local", "\"" + std::string(assignment) + "\" isn't SECTION.KEY=VALUE, as in health.floor=0.8");

    auto root = YAML::Load(document);
    std::string section(assignment.substr(0, dot));
    std::string key(assignment.substr(dot + 1, equals - dot - 1));
    root[section][key] = std::string(assignment.substr(equals + 1));
    YAML::Emitter emitter;
    emitter << root;
    return Model::formatProfile(Model::parseProfile(emitter.c_str(), "amended profile"));
}

}
