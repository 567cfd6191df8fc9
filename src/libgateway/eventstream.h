#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Server-sent events as a relay needs them: whole events and their ids.

namespace Trefoil {

// Splits a stream of bytes into whole events and drops events that the caller already has.
struct EventFilter
{
    std::string incompleteEvent;              // bytes of an event that is not complete yet
    std::optional<std::uint64_t> lastEventId; // id of the last event that was passed on
};

// Takes bytes of an endpoint's answer. Returns the whole events that are new to the caller.
std::string filterEvents(EventFilter &filter, std::string_view bytes);

// Number of events in a text of whole events.
std::size_t countEvents(std::string_view events);

} // namespace Trefoil
