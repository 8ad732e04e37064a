#include <LibControl/RouteTableCodec.h>

#include <LibControl/JsonArchive.h>
#include <LibControl/JsonText.h>
#include <LibControl/MessageFields.h>

namespace Control {

namespace {

    template <typename Entry>
    void addIfMalformed(std::vector<Model::EntryProblem>& problems, const std::string& name, const Json::Value& json)
    {
        try {
            Entry entry;
            JsonReader::read(json, entry);
        } catch (const ControlError& error) {
            problems.push_back({ name, error.problem() });
        }
    }

    template <typename Entry>
    void addMalformedElements(std::vector<Model::EntryProblem>& problems, const std::string& name, const Json::Value& list)
    {
        if (!list.isArray())
            return;
        for (Json::ArrayIndex index = 0; index < list.size(); ++index)
            addIfMalformed<Entry>(problems, name + "[" + std::to_string(index) + "]", list[index]);
    }

}

std::string encodeRouteTable(const Model::RouteTable& table)
{
    return formatJson(JsonWriter::write(table));
}

Model::RouteTable parseRouteTable(const std::string& text)
{
    Model::RouteTable table;
    JsonReader::read(parseJson(text), table);
    return table;
}

Model::RouteTable decodeRouteTable(const std::string& text)
{
    auto table = parseRouteTable(text);
    checkRouteTable(table, "published table");
    return table;
}

std::vector<Model::EntryProblem> findMalformedEntries(const std::string& text)
{
    std::vector<Model::EntryProblem> problems;
    auto json = parseJson(text);
    if (!json.isObject())
        return problems;
    addMalformedElements<Model::Route>(problems, "routes", json["routes"]);
    addMalformedElements<Model::ServiceTerms>(problems, "services", json["services"]);
    addMalformedElements<Model::Tenant>(problems, "tenants", json["tenants"]);
    if (json.isMember("limits"))
        addIfMalformed<Model::CallerLimits>(problems, "limits", json["limits"]);
    return problems;
}

}
