#pragma once

#include <LibModel/Identifiers.h>
#include <LibModel/Request.h>
#include <LibModel/Time.h>

#include <cstddef>
#include <vector>

namespace Decision {

using namespace Model;

// A request that may have caused a crash.
struct CrashSuspect {
    Fingerprint fingerprint;
    // True if nothing else ran with it.
    bool ranAlone { false };

    bool operator==(const CrashSuspect&) const = default;
};

// Tracks the requests of one backend server whose connection was cut and that may therefore have crashed it. A cut
// alone doesn't show a crash: a refused connection or a higher incarnation must confirm it before the backend server
// answers again.
class CrashWatch {
public:
    // Maximum number of cut requests remembered.
    static constexpr size_t maximumSuspects = 64;
    // A crash that is confirmed later than this after the cut isn't attributed to the cut request.
    static constexpr Duration confirmationWindow = 30s;

    // Adds a request whose connection was cut. A request that was sent after an earlier cut isn't suspected, because a
    // crash would have happened before it was sent.
    void addCutRun(const CrashSuspect&, Instant sentAt, Instant now);
    // Removes the cuts up to the instant at which a completely answered request was sent: they weren't crashes.
    void clearCutsUntil(Instant sentAt);
    // True if cuts wait for what shows whether they were a crash.
    bool hasSuspects(Instant now) const;
    // Returns and removes the requests that may have caused the backend server's crash.
    std::vector<CrashSuspect> takeSuspects(Instant now);

private:
    struct Cut {
        CrashSuspect suspect;
        Instant at;
    };

    std::vector<Cut> m_cuts;
};

}
