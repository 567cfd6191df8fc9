#include "libgateway/eventstream.h"

#include <algorithm>
#include <charconv>

namespace Trefoil {

namespace {

// Returns the length of the first event with its blank line, or 0 when it is not complete.
std::size_t firstEventLength(std::string_view bytes)
{
    std::size_t lineStart = 0;
    while (true) {
        const std::size_t newline = bytes.find('\n', lineStart);
        if (newline == std::string_view::npos)
            return 0;
        std::string_view line = bytes.substr(lineStart, newline - lineStart);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty())
            return newline + 1;
        lineStart = newline + 1;
    }
}

std::optional<std::uint64_t> parseEventId(std::string_view event)
{
    while (!event.empty()) {
        const std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (!line.starts_with("id:"))
            continue;
        std::string_view value = line.substr(3);
        value.remove_prefix(std::min(value.size(), value.find_first_not_of(' ')));
        std::uint64_t id = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
        if (parsed.ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

std::string filterEvents(EventFilter &filter, std::string_view bytes)
{
    filter.incompleteEvent += bytes;
    std::string events;
    std::string_view rest = filter.incompleteEvent;
    while (const std::size_t length = firstEventLength(rest)) {
        const std::string_view event = rest.substr(0, length);
        rest.remove_prefix(length);
        const auto id = parseEventId(event);
        const bool isDuplicate = id && filter.lastEventId && *id <= *filter.lastEventId;
        if (isDuplicate)
            continue;
        if (id)
            filter.lastEventId = id;
        events += event;
    }
    filter.incompleteEvent = std::string(rest);
    return events;
}

std::size_t countEvents(std::string_view events)
{
    std::size_t count = 0;
    while (const std::size_t length = firstEventLength(events)) {
        events.remove_prefix(length);
        ++count;
    }
    return count;
}

} // namespace Trefoil
