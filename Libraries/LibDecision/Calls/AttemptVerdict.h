#pragma once

#include <LibDecision/Attempt.h>

namespace Decision {

// What the end of an attempt means for the caller's request.
enum class AttemptVerdict {
    // A whole answer that is delivered.
    Deliver,
    // A whole answer by which the backend server says that it couldn't serve; another one might.
    ServerFailed,
    // Definitely not run; another backend server may be asked.
    NotRun,
    // Definitely not run, and another backend server would refuse it as well.
    NotRunForGood,
    // It may have run.
    MayHaveRun,
    // Another process keeps the answer of the key's first request.
    Redirect,
};

// Says whether another backend server may do better. One that doesn't know the method fails everywhere.
bool isServerError(uint16_t status);

AttemptVerdict verdictOf(const AttemptReport&);

// Why the attempt failed: the report's reason, or the one that its result implies.
Reason reasonOf(const AttemptReport&);

// Says whether the reason is a lack of capacity that is likely to pass soon.
bool isPassing(Reason);

}
