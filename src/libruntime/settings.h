#pragma once

#include "libnode/node.h"
#include "libruntime/findings.h"

#include <string>
#include <vector>

namespace Trefoil {

// Limits and timeouts of the HTTP connections to callers and endpoints.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxConnections = 20'000;

    // Limits a response that is buffered as a whole.
    std::size_t maxBufferedResponseBytes = 16 * 1024 * 1024;

    Duration idleTimeout = std::chrono::seconds(60);

    // Time after which the connection to a caller that does not read its response is closed.
    Duration writeTimeout = std::chrono::seconds(30);

    Duration defaultDeadline = std::chrono::seconds(120);
    Duration maxDeadline = std::chrono::minutes(30);
    Duration connectTimeout = std::chrono::milliseconds(1000);
    Duration firstByteTimeout = std::chrono::seconds(60);
    Duration progressTimeout = std::chrono::seconds(20);
};

// Settings of one trefoilrund process.
struct Settings
{
    NodeSettings node;

    // Each is an IP address and a port. Peers connect by TCP and UDP.
    std::string callerListenAddress;
    std::string peerListenAddress;
    std::string operatorListenAddress;

    // Holds the log of the control seat (Raft replica); empty for an entry without a seat.
    std::string dataFolder;

    // Entries that hold the first control seats.
    std::vector<std::string> initialSeats;

    // Empty to log to standard error.
    std::string logFolder;

    // Longest duration of a planned stop.
    Duration stopTimeout = std::chrono::seconds(120);

    ControlSeatOptions seat;
    HttpLimits http;
};

struct LoadedSettings
{
    // Valid only when there are no findings.
    Settings settings;
    std::vector<Finding> findings;
};

// Reads a settings file and collects all findings. A file that cannot be read is a finding too.
LoadedSettings loadSettings(const std::string &path);

// Reads settings from a text. Findings name `file` as their file.
LoadedSettings readSettings(const std::string &text, const std::string &file);

} // namespace Trefoil
