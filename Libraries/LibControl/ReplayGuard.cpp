#include <LibControl/ReplayGuard.h>

namespace Control {

bool ReplayGuard::accept(const Model::InstanceId& sender, Model::Incarnation startIncarnation, uint64_t sequence)
{
    auto& window = m_windows[sender];
    if (startIncarnation < window.startIncarnation)
        return false;
    if (startIncarnation > window.startIncarnation)
        window = Window { startIncarnation, 0, {} };

    if (sequence > window.highestSequence) {
        window.seen <<= std::min<uint64_t>(sequence - window.highestSequence, windowLength);
        window.seen.set(0);
        window.highestSequence = sequence;
        return true;
    }

    auto age = window.highestSequence - sequence;
    if (sequence == 0 || age >= windowLength || window.seen.test(age))
        return false;
    window.seen.set(age);
    return true;
}

}
