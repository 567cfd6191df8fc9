#include "libruntime/events.h"

#include "libruntime/structuredlog.h"

#include <glog/logging.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>

namespace Trefoil {

namespace {

using enum Severity;

constexpr EventSpec Specs[] = {
        {Event::Started, Info, "started"},
        {Event::Stopping, Info, "planned stop begins"},
        {Event::Stopped, Info, "stopped"},
        {Event::StopOverdue, Warning, "planned stop passed its bound"},
        {Event::DutyFailed, Error, "a duty failed, the process ends"},
        {Event::SettingsInvalid, Error, "settings are not valid"},
        {Event::ListenFailed, Error, "cannot listen"},
        {Event::PeerConnected, Info, "connected to a peer"},
        {Event::PeerLost, Info, "connection to a peer ended"},
        {Event::PeerMessageInvalid, Warning, "a message of a peer cannot be read"},
        {Event::MemberChanged, Info, "an entry changed its status"},
        {Event::Paused, Warning, "this process did not run for a while"},
        {Event::LeaderElected, Info, "this seat leads"},
        {Event::LeaderLost, Info, "this seat leads no more"},
        {Event::LogTailDropped, Warning, "an incomplete last log record was dropped"},
        {Event::SeatStopped, Error, "the seat stops after a disk error"},
        {Event::ConfigurationStale, Warning, "the configuration cannot be confirmed"},
        {Event::ConfigurationFresh, Info, "the configuration is confirmed"},
        {Event::ChangePlanned, Info, "the leader plans a change"},
        {Event::SeatRecovered, Info, "the seat read its log"},
        {Event::GateChanged, Info, "the gate of a group changed"},
        {Event::OrderRefused, Warning, "an engine did not take an order"},
        {Event::VmSilent, Warning, "a VM stopped its heartbeats"},
        {Event::RequestLost, Warning, "the fate of a request is unknown"},
        {Event::RingFull, Warning, "a ring between duties is full"},
        {Event::RequestEnded, Info, "a request ended"},
        {Event::AttemptFailed, Warning, "an attempt at an endpoint failed"},
        {Event::EndpointEjected, Warning, "an endpoint gets no requests for a while"},
        {Event::EngineEnded, Warning, "an engine ended with a request in progress"},
        {Event::PartsQuarantined, Warning, "requests with a part of a prompt are refused"},
        {Event::PartsReleased, Info, "requests with a part of a prompt are no longer refused"},
        {Event::PartsTried, Info, "a request with a refused part of a prompt is tried"},
        {Event::RetryShareChanged, Info, "the entry's share of the retry allowance changed"},
        {Event::RetryDenied, Info, "a request is not repeated, the retry budget is used up"},
        {Event::EndpointLimitChanged, Info, "the request limit of an endpoint changed"},
        {Event::EndpointLimitInvalid, Warning, "an endpoint named a limit that cannot be used"},
        {Event::EndpointHeldOff, Info, "an endpoint wants no requests for a while"},
        {Event::HoldOffInvalid, Warning, "an endpoint named a time that cannot be used"},
        {Event::MemoryExhausted, Warning, "connections gave up their memory"},
        {Event::MemoryRefused, Warning, "a connection or request got no memory"},
        {Event::StreamTakeover, Info, "another endpoint may go on with a stream"},
        {Event::EndpointChanged, Info, "an endpoint changed"},
        {Event::EndpointReportInvalid, Warning, "an endpoint's report cannot be used"},
        {Event::GroupOrdered, Info, "the leader sent an order to an engine"},
        {Event::OrderAnswered, Info, "an engine answered an order"},
        {Event::EndpointDeparted, Info, "an endpoint announced that it leaves"},
        {Event::GroupsInherited, Info, "the leader continues the groups of its log"},
        {Event::GroupsRecorded, Info, "changes of groups were proposed to the log"},
        {Event::ConfigurationPublished, Info, "a configuration was accepted"},
        {Event::ConfigurationRefused, Warning, "a configuration was refused"},
        {Event::ConfigurationApplied, Info, "a configuration is in force here"},
        {Event::LinkConnected, Info, "a link to a control VM is up"},
        {Event::LinkLost, Warning, "a link to a control VM ended"},
        {Event::LinkMessageTooLong, Error, "a message to a peer is too long and was left out"},
        {Event::SeatsChanged, Info, "the leader changes the seats"},
        {Event::DiskFailed, Error, "a disk write failed; the seat recovers from its disk"},
        {Event::SettingsReloaded, Info, "the settings were read again"},
};

const EventSpec &findSpec(Event event)
{
    return *std::find_if(std::begin(Specs), std::end(Specs),
                         [event](const EventSpec &spec) { return spec.event == event; });
}

std::string formatLine(const EventSpec &spec, EventFields fields)
{
    std::string line =
            "E" + std::to_string(static_cast<int>(spec.event)) + " " + std::string(spec.text);
    for (const auto &[name, value] : fields)
        line += " " + std::string(name) + "=" + value;
    return line;
}

} // namespace

std::span<const EventSpec> eventSpecs()
{
    return Specs;
}

void startLogging(const std::string &program, const std::string &folder)
{
    // glog keeps the pointer to the name.
    static std::string name;
    name = program;
    if (folder.empty())
        FLAGS_logtostderr = true;
    else
        FLAGS_log_dir = folder;
    FLAGS_logbufsecs = 0;
    google::InitGoogleLogging(name.c_str());
}

void logEvent(Event event, EventFields fields)
{
    const EventSpec &spec = findSpec(event);
    if (isStructuredLogStarted()) {
        writeStructuredLog(spec, fields);
        return;
    }
    const std::string line = formatLine(spec, fields);
    switch (spec.severity) {
    case Info:
        LOG(INFO) << line;
        break;
    case Warning:
        LOG(WARNING) << line;
        break;
    case Error:
        LOG(ERROR) << line;
        break;
    }
}

void logFatal(Event event, EventFields fields)
{
    logEvent(event, fields);
    flushStructuredLog();
    google::FlushLogFiles(google::GLOG_INFO);
    std::_Exit(EXIT_FAILURE);
}

} // namespace Trefoil
