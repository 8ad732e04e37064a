#pragma once

#include <csignal>
#include <utility>

namespace Fulmard {

enum class StopAction {
    // Finish the requests in flight, then end. If the process is leaving already, they get the whole time anew.
    Leave,
    // End with requests in flight.
    EndNow,
};

// Decides what a signal to stop means. Those who stop processes may repeat SIGTERM, and planned stops may overlap, so only
// a person at a terminal can cut a stop short, by interrupting it again.
class StopSignals {
public:
    StopAction receive(int signal)
    {
        bool wasLeaving = std::exchange(m_isLeaving, true);
        return wasLeaving && signal == SIGINT ? StopAction::EndNow : StopAction::Leave;
    }

private:
    bool m_isLeaving { false };
};

}
