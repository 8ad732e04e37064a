#include <LibModel/Error.h>

namespace Model {

Error::Error(std::string step, std::string peer, const std::string& what)
    : std::runtime_error(step + " [" + peer + "]: " + what)
    , m_step(std::move(step))
    , m_peer(std::move(peer))
    , m_problem(what)
{
}

DocumentError::DocumentError(std::string file, int line, std::string key, const std::string& problem, const std::string& allowed)
    : Error("read-document", file, file + ":" + std::to_string(line) + ": " + key + ": " + problem + "; allowed: " + allowed)
    , m_line(line)
    , m_key(std::move(key))
    , m_detail(problem + "; allowed: " + allowed)
{
}

}
