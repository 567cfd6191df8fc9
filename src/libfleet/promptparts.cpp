#include "libfleet/promptparts.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>

namespace Trefoil {

std::vector<PromptPartId> sharedParts(std::span<const PromptPart> parts)
{
    std::vector<PromptPartId> ids;
    ids.reserve(parts.size());
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        ids.push_back(parts[i].id);
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    return ids;
}

std::string toText(PromptPartId id)
{
    char text[20];
    std::snprintf(text, sizeof text, "%08" PRIx64, id);
    return text;
}

std::string toText(std::span<const PromptPartId> ids)
{
    std::string text;
    for (const PromptPartId id : ids)
        text += (text.empty() ? "" : ",") + toText(id);
    return text;
}

std::string toShortText(std::span<const PromptPartId> ids)
{
    constexpr std::size_t maxIds = 32;
    const std::string text = toText(ids.first(std::min(ids.size(), maxIds)));
    return ids.size() <= maxIds ? text : text + ",+" + std::to_string(ids.size() - maxIds);
}

} // namespace Trefoil
