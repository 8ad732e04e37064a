#pragma once

// The only place that includes the HTTP library, so that its event loop is chosen once.
// Used by LibTransport's own sources alone.
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
