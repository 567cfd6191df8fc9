#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace Trefoil {

using PromptPartId = std::uint64_t;

// Part of a prompt. Requests share parts; the last part belongs to the request itself or to its
// session.
struct PromptPart
{
    PromptPartId id = 0;
    double tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

// Returns the sorted ids of the parts that other requests may share: all but the last.
std::vector<PromptPartId> sharedParts(std::span<const PromptPart> parts);

// Returns the id as callers write it, in hexadecimal.
std::string toText(PromptPartId id);

// Returns the ids separated by commas.
std::string toText(std::span<const PromptPartId> ids);

// Returns the first ids and the number of the others, so that a long prompt does not fill a line.
std::string toShortText(std::span<const PromptPartId> ids);

} // namespace Trefoil
