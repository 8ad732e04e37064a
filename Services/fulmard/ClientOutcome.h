#pragma once

#include <LibDecision/Attempt.h>
#include <LibModel/Identifiers.h>
#include <LibModel/Settings.h>
#include <LibTransport/HttpClient.h>

namespace Fulmard {

// Gives the core's name for how an exchange with another party ended.
Decision::AttemptResult attemptResultOf(Transport::ClientStatus);

// Gives what the core learns from a backend server's answer to the request. An answer with the edge's mark that the
// request wasn't run is a refusal, and a good answer without the edge's proof is malformed. So is whatever carries another
// request's id, and a refusal without any on a reused connection, where backend servers return ids: it may be an earlier one.
// What isn't malformed also brings what the backend server says of its own state.
Decision::RunReport runReportOf(const Transport::ClientResult&, const Model::EdgeSettings&, const Model::RequestId&);

}
