#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

// Numbered log events. docs/events.md is their catalogue; a test keeps both in step.

namespace Trefoil {

enum class Event {
    Started = 100,
    Stopping = 101,
    Stopped = 102,
    StopOverdue = 103,
    DutyFailed = 104,
    SettingsInvalid = 105,
    ListenFailed = 106,
    PeerConnected = 200,
    PeerLost = 201,
    PeerMessageInvalid = 202,
    MemberChanged = 203,
    Paused = 204,
    LeaderElected = 300,
    LeaderLost = 301,
    LogTailDropped = 302,
    SeatStopped = 303,
    ConfigurationStale = 304,
    ConfigurationFresh = 305,
    ChangePlanned = 306,
    SeatRecovered = 307,
    GateChanged = 400,
    OrderRefused = 401,
    VmSilent = 402,
    RequestLost = 500,
    RingFull = 501,
    RequestEnded = 502,
    AttemptFailed = 503,
    EndpointEjected = 504,
    EndpointChanged = 600,
    EndpointReportInvalid = 601,
    GroupOrdered = 602,
    OrderAnswered = 603,
    ConfigurationPublished = 610,
    ConfigurationRefused = 611,
    ConfigurationApplied = 612,
    LinkConnected = 620,
    LinkLost = 621,
    SeatsChanged = 622,
    DiskFailed = 623,
    SettingsReloaded = 624,
};

enum class Severity { Info, Warning, Error };

struct EventSpec
{
    Event event;
    Severity severity;
    std::string_view text;
};

std::span<const EventSpec> eventSpecs();

using EventFields = std::initializer_list<std::pair<std::string_view, std::string>>;

// Starts logging for the program. An empty folder logs to standard error.
void startLogging(const std::string &program, const std::string &folder);

// Writes one line: number, text and fields.
void logEvent(Event event, EventFields fields = {});

// Writes the line and ends the process.
[[noreturn]] void logFatal(Event event, EventFields fields = {});

} // namespace Trefoil
