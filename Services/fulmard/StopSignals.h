#pragma once

#include <csignal>

namespace Fulmard {

enum class StopAction {
    // Finish the requests in flight, then end.
    Leave,
    // The process is leaving already.
    None,
    // End with requests in flight.
    EndNow,
};

// Decides what a signal to stop means. Those who stop processes may repeat SIGTERM, and planned stops may overlap, so only
// a person at a terminal can cut a stop short, by interrupting it again.
class StopSignals {
public:
    StopAction receive(int signal)
    {
        if (!m_isLeaving) {
            m_isLeaving = true;
            return StopAction::Leave;
        }
        return signal == SIGINT ? StopAction::EndNow : StopAction::None;
    }

private:
    bool m_isLeaving { false };
};

}
