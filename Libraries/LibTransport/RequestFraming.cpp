#include <LibTransport/RequestFraming.h>

#include <string_view>
#include <strings.h>

namespace Transport {

static bool isField(std::string_view line, std::string_view name)
{
    return line.size() > name.size() && line[name.size()] == ':' && strncasecmp(line.data(), name.data(), name.size()) == 0;
}

bool hasAmbiguousFraming(const h2o_buffer_t& buffer)
{
    std::string_view rest(buffer.bytes, buffer.size);
    int lengths = 0;
    int encodings = 0;
    while (true) {
        auto end = rest.find('\n');
        if (end == std::string_view::npos || rest.substr(0, end).find_first_not_of('\r') == std::string_view::npos)
            break;
        auto line = rest.substr(0, end);
        lengths += isField(line, "content-length") ? 1 : 0;
        encodings += isField(line, "transfer-encoding") ? 1 : 0;
        rest.remove_prefix(end + 1);
    }
    return lengths + encodings > 1;
}

}
