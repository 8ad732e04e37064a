#pragma once

#include <cstdint>
#include <string>

namespace Telemetry {

// Writes lines to a descriptor without ever waiting for its reader: a line for which there is no room is left out and
// counted. Long lines are cut.
class LineWriter {
public:
    // Doesn't own the descriptor.
    explicit LineWriter(int descriptor);

    // The line has no line break yet.
    void write(std::string line);
    uint64_t droppedLines() const { return m_droppedLines; }

private:
    bool hasRoom() const;

    int m_descriptor;
    uint64_t m_droppedLines { 0 };
};

}
