#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Trefoil {

// A fault in an input, with its place. Lines and columns count from 1; 0 stands for the whole file.
struct Finding
{
    std::string file;
    std::size_t line = 0;
    std::size_t column = 0;
    std::string message;
};

// "file:line:column: message", one line for each finding.
std::string toText(std::span<const Finding> findings);

// The known name with the smallest edit distance, or empty when none is close.
std::string nearestName(std::string_view name, std::span<const std::string_view> known);

} // namespace Trefoil
