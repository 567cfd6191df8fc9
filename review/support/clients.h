#pragma once

#include "world.h"

// A consumer of the system.

namespace Review {

struct ConsumerRequest
{
    std::string id;
    std::string path;
    std::string key = "key-1";
    std::string model; // empty for plain services
    int timeLimitMs = 8000;
};

struct ConsumerResult
{
    int status = 0;
    bool isComplete = false;
    // The entry closed the connection before the answer was complete.
    bool isClosedByEntry = false;
    bool hasTimedOut = false;
    double sentAt = 0;
    double endedAt = 0;
    int events = 0;
    std::string body;
};

// Draws an id that no other request has.
std::string drawRequestId();

// Sends a request over a new connection and reads the answer until its end or the time limit.
ConsumerResult consume(World &world, const std::string &entry, const ConsumerRequest &request);

// Describes the result in the record.
std::string toText(const ConsumerRequest &request, const ConsumerResult &result);

} // namespace Review
