#include "libruntime/events.h"

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
};

const EventSpec &specOf(Event event)
{
    return *std::find_if(std::begin(Specs), std::end(Specs),
                         [event](const EventSpec &spec) { return spec.event == event; });
}

std::string lineOf(const EventSpec &spec, EventFields fields)
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
    const EventSpec &spec = specOf(event);
    const std::string line = lineOf(spec, fields);
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
    google::FlushLogFiles(google::GLOG_INFO);
    std::_Exit(EXIT_FAILURE);
}

} // namespace Trefoil
