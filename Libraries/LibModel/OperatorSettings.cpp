#include <LibModel/OperatorSettings.h>

#include <LibModel/YamlReader.h>

namespace Model {

OperatorSettings parseOperatorSettings(std::string_view document, const std::string& fileName)
{
    auto reader = YamlReader::parse(document, fileName);
    OperatorSettings settings;
    settings.nodes = reader.endpoints("nodes");
    settings.platform = reader.endpoints("platform");
    if (settings.platform.empty())
        reader.fail("platform", "missing or empty", "one endpoint or more");
    settings.operatorKey = reader.secret("operator-key");
    settings.author = reader.stringOr("author", "");
    if (settings.nodes.empty())
        reader.fail("nodes", "missing or empty", "one control endpoint or more");
    reader.finish();
    return settings;
}

}
