#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Functions for a relay that split a stream of server-sent events and remove repeated events.

namespace Trefoil {

// State of an event stream that may continue at another endpoint, which may repeat events.
struct EventFilter
{
    // Start of an event whose end has not arrived.
    std::string incompleteEvent;

    // Id of the last event that was forwarded.
    std::optional<std::uint64_t> lastEventId;
};

// Adds bytes of an endpoint's response. Returns the complete events that the caller does not have.
std::string filterEvents(EventFilter &filter, std::string_view bytes);

// Returns the number of complete events in `events`.
std::size_t countEvents(std::string_view events);

} // namespace Trefoil
