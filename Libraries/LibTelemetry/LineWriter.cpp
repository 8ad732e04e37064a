#include <LibTelemetry/LineWriter.h>

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace Telemetry {

// A pipe that is ready for writing takes this much without waiting. https://man7.org/linux/man-pages/man7/pipe.7.html
static constexpr size_t longestLine = PIPE_BUF;

LineWriter::LineWriter(int descriptor)
    : m_descriptor(descriptor)
{
}

void LineWriter::write(std::string line)
{
    if (line.size() >= longestLine)
        line.resize(longestLine - 1);
    line.push_back('\n');
    bool isWritten = hasRoom() && ::write(m_descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
    if (!isWritten)
        ++m_droppedLines;
}

bool LineWriter::hasRoom() const
{
    pollfd state { m_descriptor, POLLOUT, 0 };
    return poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
}

}
