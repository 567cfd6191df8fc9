#include "libruntime/structuredlog.h"

#include "libruntime/clock.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <map>

#include <fcntl.h>
#include <unistd.h>

namespace Trefoil {

namespace {

constexpr std::size_t MaxBufferedBytes = 256 * 1024;
constexpr std::size_t FlushBytes = 4096;
constexpr double LinesPerSecond = 40; // of one event
constexpr double LineBurst = 80;

struct LineRate
{
    double tokens = LineBurst;
    TimePoint updatedAt{};
    std::uint64_t suppressed = 0;
};

struct Sink
{
    bool isStarted = false;
    std::string node;
    std::string buffer;
    std::uint64_t dropped = 0;
    std::map<Event, LineRate> rates;
};

Sink &sink()
{
    static Sink instance;
    return instance;
}

// Takes one line out of the event's rate.
bool takeLine(LineRate &rate, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - rate.updatedAt).count();
    rate.tokens = std::min(LineBurst, rate.tokens + seconds * LinesPerSecond);
    rate.updatedAt = now;
    if (rate.tokens < 1) {
        ++rate.suppressed;
        return false;
    }
    rate.tokens -= 1;
    return true;
}

std::string quoted(std::string_view text)
{
    return boost::json::serialize(boost::json::value(boost::json::string(text)));
}

const char *severityName(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        return "error";
    }
    return "";
}

} // namespace

void startStructuredLog(const std::string &node)
{
    sink().isStarted = true;
    sink().node = node;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool isStructuredLogStarted()
{
    return sink().isStarted;
}

void writeStructuredLog(const EventSpec &spec, EventFields fields)
{
    Sink &out = sink();
    LineRate &rate = out.rates[spec.event];
    if (!takeLine(rate, RuntimeClock::now()))
        return;
    std::string line = "{\"time\":" + std::to_string(wallTimeMs()) + ",\"node\":" + quoted(out.node)
                       + ",\"event\":" + std::to_string(static_cast<int>(spec.event))
                       + ",\"severity\":\"" + severityName(spec.severity)
                       + "\",\"text\":" + quoted(spec.text);
    for (const auto &[name, value] : fields)
        line += ",\"" + std::string(name) + "\":" + quoted(value);
    if (rate.suppressed > 0)
        line += ",\"suppressed\":" + std::to_string(rate.suppressed);
    if (out.dropped > 0)
        line += ",\"dropped\":" + std::to_string(out.dropped);
    line += "}\n";
    if (out.buffer.size() + line.size() > MaxBufferedBytes) {
        ++out.dropped;
        return;
    }
    rate.suppressed = 0;
    out.dropped = 0;
    out.buffer += line;
    if (out.buffer.size() >= FlushBytes || spec.severity != Severity::Info)
        flushStructuredLog();
}

void flushStructuredLog()
{
    std::string &buffer = sink().buffer;
    while (!buffer.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, buffer.data(), buffer.size());
        if (written <= 0)
            return; // the reader is slow or gone; later lines are dropped once the buffer is full
        buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace Trefoil
