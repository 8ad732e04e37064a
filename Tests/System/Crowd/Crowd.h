#pragma once

#include <LibModel/Endpoint.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace CrowdTests {

using Model::Endpoint;

// What one client of a crowd does: it connects, sends the head and then blocks of its body, and stays open.
struct ClientPlan {
    Endpoint to;
    std::string from { "127.0.0.1" };
    std::string head;
    // Repeated until bodyBytes have been sent; the last one may be sent in part.
    std::string block;
    uint64_t bodyBytes { 0 };
    // Bytes read in each round of the crowd; 0 reads nothing.
    size_t readBytes { 1u << 20 };
    // A small receive buffer leaves unread bytes with the sender; 0 leaves the system's.
    int receiveBuffer { 0 };
    // Times that it connects, if its connections are closed.
    int connections { 2 };
};

struct CrowdBounds {
    std::chrono::milliseconds longest { 20'000 };
    // Rounds that the crowd stays open after the last client has sent all it has.
    int roundsAfter { 50 };
};

// Plays the clients at once, by non-blocking sockets on this thread. Ends once every client has sent all that it has or
// was closed, after the bounds at the latest. Calls back in each round, while the clients are open.
void playCrowd(const std::vector<ClientPlan>&, const CrowdBounds&, const std::function<void()>& onRound, const std::function<void()>& atEnd);

// Sends a request and reads the answer to the end of the connection. Gives its status; 0 if there was no answer.
int requestStatus(const Endpoint&, const std::string& text, std::chrono::milliseconds limit);

// A port that nothing listens on.
uint16_t freePort();

}
