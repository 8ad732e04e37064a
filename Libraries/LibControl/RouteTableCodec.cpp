#include <LibControl/RouteTableCodec.h>

#include <LibControl/JsonArchive.h>
#include <LibControl/JsonText.h>
#include <LibControl/MessageFields.h>

namespace Control {

std::string encodeRouteTable(const Model::RouteTable& table)
{
    return formatJson(JsonWriter::write(table));
}

Model::RouteTable decodeRouteTable(const std::string& text)
{
    Model::RouteTable table;
    JsonReader::read(parseJson(text), table);
    checkRouteTable(table, "published table");
    return table;
}

}
