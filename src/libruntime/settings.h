#pragma once

#include "libnode/node.h"
#include "libruntime/findings.h"

#include <string>
#include <vector>

namespace Trefoil {

// Limits of the HTTP side.
struct HttpLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxConnections = 20'000;
    std::size_t maxAnswerBytes = 16 * 1024 * 1024; // of buffered answers
    Duration idleTimeout = std::chrono::seconds(60);
    Duration writeTimeout = std::chrono::seconds(30); // of a caller that does not read
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
    std::string callerListen;                       // IP:port
    std::string peerListen;                         // IP:port, TCP and UDP
    std::string operatorListen;                     // IP:port
    std::string dataFolder;                         // empty for an entry without a seat
    std::vector<std::string> initialSeats;          // entries that hold the first seats
    std::string logFolder;                          // empty for standard error
    Duration stopBound = std::chrono::seconds(120); // of a planned stop
    ControlSeatOptions seat;
    HttpLimits http;
};

struct LoadedSettings
{
    Settings settings;
    std::vector<Finding> findings; // settings are usable only when empty
};

// Reads a settings file. All findings are collected; a missing file is a finding too.
LoadedSettings loadSettings(const std::string &path);

// The same for a text, reported under the name `file`.
LoadedSettings readSettings(const std::string &text, const std::string &file);

} // namespace Trefoil
