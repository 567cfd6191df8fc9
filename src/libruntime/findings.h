#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoil {

// An error in an input file and its position. Lines and columns count from 1; line 0 means the
// whole file.
struct Finding
{
    std::string file;
    std::size_t line = 0;
    std::size_t column = 0;
    std::string message;
};

// Formats each finding as a line "file:line:column: message".
std::string toText(std::span<const Finding> findings);

// Returns the known name with the smallest edit distance, or an empty string when each differs by
// more than three edits.
std::string nearestName(std::string_view name, std::span<const std::string_view> known);

} // namespace Trefoil
