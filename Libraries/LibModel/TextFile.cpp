#include <LibModel/TextFile.h>

#include <LibModel/Error.h>

#include <fstream>
#include <sstream>

namespace Model {

std::string readTextFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw Model::Error("read-file", path, "can't be opened");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

}
