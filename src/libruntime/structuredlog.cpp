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
constexpr std::size_t FlushThresholdBytes = 4096;

// Rate limit of the lines of one event.
constexpr double MaxLinesPerSecond = 40;
constexpr double MaxBurstLines = 80;

// Token bucket that limits the rate of one event.
struct LineRateLimit
{
    double tokens = MaxBurstLines;
    TimePoint updatedAt{};
    std::uint64_t suppressedLines = 0;
};

// State of the structured log.
struct StructuredLog
{
    bool isStarted = false;
    std::string node;
    std::string buffer;
    std::uint64_t droppedLines = 0;
    std::map<Event, LineRateLimit> rateLimits;
};

StructuredLog &structuredLog()
{
    static StructuredLog instance;
    return instance;
}

// Takes a token for one line. Returns false when the event has none left.
bool takeToken(LineRateLimit &limit, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - limit.updatedAt).count();
    limit.tokens = std::min(MaxBurstLines, limit.tokens + seconds * MaxLinesPerSecond);
    limit.updatedAt = now;
    if (limit.tokens < 1) {
        ++limit.suppressedLines;
        return false;
    }
    limit.tokens -= 1;
    return true;
}

std::string quoteJson(std::string_view text)
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
    structuredLog().isStarted = true;
    structuredLog().node = node;
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

bool isStructuredLogStarted()
{
    return structuredLog().isStarted;
}

void writeStructuredLog(const EventSpec &spec, EventFields fields)
{
    StructuredLog &log = structuredLog();
    LineRateLimit &limit = log.rateLimits[spec.event];
    if (!takeToken(limit, RuntimeClock::now()))
        return;
    std::string line =
            "{\"time\":" + std::to_string(wallTimeMs()) + ",\"node\":" + quoteJson(log.node)
            + ",\"event\":" + std::to_string(static_cast<int>(spec.event)) + ",\"severity\":\""
            + severityName(spec.severity) + "\",\"text\":" + quoteJson(spec.text);
    for (const auto &[name, value] : fields)
        line += ",\"" + std::string(name) + "\":" + quoteJson(value);
    if (limit.suppressedLines > 0)
        line += ",\"suppressed\":" + std::to_string(limit.suppressedLines);
    if (log.droppedLines > 0)
        line += ",\"dropped\":" + std::to_string(log.droppedLines);
    line += "}\n";
    if (log.buffer.size() + line.size() > MaxBufferedBytes) {
        ++log.droppedLines;
        return;
    }
    limit.suppressedLines = 0;
    log.droppedLines = 0;
    log.buffer += line;
    if (log.buffer.size() >= FlushThresholdBytes || spec.severity != Severity::Info)
        flushStructuredLog();
}

void flushStructuredLog()
{
    std::string &buffer = structuredLog().buffer;
    while (!buffer.empty()) {
        const ssize_t written = ::write(STDOUT_FILENO, buffer.data(), buffer.size());
        if (written <= 0)
            return; // The reader is slow or gone. Lines are dropped once the buffer is full.
        buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace Trefoil
