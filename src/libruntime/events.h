#pragma once

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>
#include <utility>

// Numbered log events. docs/events.md lists them; a test checks that both agree.

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
    EngineEnded = 505,
    PartsQuarantined = 506,
    PartsReleased = 507,
    PartsTried = 508,
    RetryShareChanged = 509,
    RetryDenied = 510,
    EndpointLimitChanged = 511,
    EndpointLimitInvalid = 512,
    EndpointHeldOff = 513,
    HoldOffInvalid = 514,
    MemoryExhausted = 515,
    MemoryRefused = 516,
    StreamTakeover = 517,
    EndpointChanged = 600,
    EndpointReportInvalid = 601,
    GroupOrdered = 602,
    OrderAnswered = 603,
    EndpointDeparted = 604,
    GroupsInherited = 605,
    GroupsRecorded = 606,
    ConfigurationPublished = 610,
    ConfigurationRefused = 611,
    ConfigurationApplied = 612,
    LinkConnected = 620,
    LinkLost = 621,
    LinkMessageTooLong = 625,
    SeatsChanged = 622,
    DiskFailed = 623,
    SettingsReloaded = 624,
};

enum class Severity { Info, Warning, Error };

// The fixed properties of an event.
struct EventSpec
{
    Event event;
    Severity severity;
    std::string_view text;
};

// Returns the properties of all events.
std::span<const EventSpec> eventSpecs();

// Names and values that a log line adds to the text of its event.
using EventFields = std::initializer_list<std::pair<std::string_view, std::string>>;

// Initializes the log of the program. Log files go to the folder, or to standard error if it is
// empty.
void startLogging(const std::string &program, const std::string &folder);

// Writes one line with the number, the text and the fields of the event. The line is a JSON object
// once the structured log is started.
void logEvent(Event event, EventFields fields = {});

// Writes the line and ends the process with a failure status.
[[noreturn]] void logFatal(Event event, EventFields fields = {});

} // namespace Trefoil
