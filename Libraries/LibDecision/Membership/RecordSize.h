#pragma once

#include <LibDecision/Message.h>

#include <cstddef>
#include <string_view>

namespace Decision {

// Upper bound in bytes on the size of a rumor within a message. The codec's JSON text must not exceed it.
size_t estimatedSize(const Rumor&);

// Upper bound in bytes on the size of a tenant within a message.
size_t estimatedSize(const Tenant&);

// Upper bound in bytes on the size of a message on the wire, including its envelope and transport headers.
size_t estimatedSize(const MessageBody&);

// Upper bound in bytes on the size of a string within JSON text, excluding its quotes.
size_t jsonLength(std::string_view);

}
