#pragma once

#include <LibDecision/Turn.h>

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Decision {

// Remembers which requests crashed backend servers anywhere in the fleet, and refuses a request after it has crashed
// CrashPolicy::maximumVictims of them. A victim is one incarnation of one backend server.
//
// Victims of runs that weren't known to be dangerous count as one: several backend servers that are lost at the same
// time for another reason may all have run the same popular request. A victim of a run that was alone counts for itself.
class CrashGuard {
public:
    // Maximum number of fingerprints remembered; the one that was reported least recently is evicted first.
    static constexpr size_t maximumFingerprints = 4096;
    // Maximum number of victims remembered per fingerprint; the oldest one is evicted first.
    static constexpr size_t maximumVictimsKept = 128;
    // A cut answer counts as a crash for this time, because the report that confirms the crash may still arrive.
    static constexpr Duration confirmationTimeout = 2s;
    // A fingerprint is removed this long after its last report, so that a late rumor about a known victim isn't treated
    // as new. Upper bound of CrashPolicy::forgetAfter.
    static constexpr Duration retention = 24h;

    std::optional<Instant> nextTimer() const;
    void handleTimer(Turn&);

    // Returns true if the request has reached the policy's maximum number of victims and must not run.
    bool isRefused(const Fingerprint&, const CrashPolicy&, Instant now) const;
    // Returns true if the request crashed a backend server and hasn't been answered since, so that it should run alone.
    bool isSuspected(const Fingerprint&, const CrashPolicy&, Instant now) const;
    // Records that the backend server crashed while it ran the request, and spreads the report if it says anything new.
    void recordVictim(Turn&, const CrashReport&, const CrashPolicy&);
    // Records that the backend server's answer was cut, which may mean that it crashed. The report isn't spread.
    void recordCut(Turn&, const CrashReport&);
    // Clears the request's victims, and spreads that: it was answered completely, so it doesn't crash every backend
    // server that runs it.
    void recordAnswer(Turn&, const Fingerprint&);
    // Records a crash report of another process. Returns true if it says anything new, so that it must be spread further.
    bool apply(Turn&, const CrashReport&);
    // Reports of confirmed victims, newest requests first, for a process that may have missed them.
    std::vector<CrashReport> newestReports(Instant now, size_t maximum) const;

    // Number of fingerprints remembered.
    size_t size() const { return m_suspects.size(); }

private:
    struct Victim {
        BackendId backend;
        Incarnation incarnation;
        Instant at;
        // True if the crash was observed or reported; false if only a cut answer was seen.
        bool isConfirmed { false };
        bool ranAlone { false };
        // True if the request was answered completely afterwards.
        bool isCleared { false };
    };

    struct Suspect {
        Fingerprint fingerprint;
        Instant lastVictimAt;
        std::vector<Victim> victims;
    };

    // Ordered by last report, oldest first.
    using SuspectList = std::list<Suspect>;

    size_t countVictims(const Fingerprint&, const CrashPolicy&, Instant now) const;
    // Returns true if the report says anything new.
    bool add(Instant now, const CrashReport&, bool isConfirmed);
    static CrashReport reportOf(const Suspect&, const Victim&, Instant now);
    Suspect& touch(Instant now, const Fingerprint&);

    SuspectList m_suspects;
    std::unordered_map<Fingerprint, SuspectList::iterator> m_positions;
};

}
