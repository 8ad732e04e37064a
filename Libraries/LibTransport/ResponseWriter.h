#pragma once

#include <LibTransport/H2O.h>
#include <LibTransport/HttpMessage.h>

#include <string>

namespace Transport {

// Marks answers that writeResponse() makes, as against the library's own.
h2o_generator_t* responseGenerator();

// Sets status and header fields. Those that the library writes by itself are left out.
void writeHead(h2o_req_t&, const HttpResponse&);

// Answers the request. The body is kept at the given place, which must live as long as the request.
void writeResponse(h2o_req_t&, HttpResponse, std::string& bodyStorage);

// Answers with the first bytes of the body and then ends the connection or stream.
void writeCutResponse(h2o_req_t&, HttpResponse, size_t bodyBytes, std::string& bodyStorage);

}
