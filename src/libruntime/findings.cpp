#include "libruntime/findings.h"

#include <algorithm>
#include <numeric>

namespace Trefoil {

namespace {

constexpr std::size_t MaxDistance = 3;

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({row[j + 1] + 1, row[j] + 1, replaced});
        }
    }
    return row.back();
}

} // namespace

std::string toText(std::span<const Finding> findings)
{
    std::string text;
    for (const Finding &finding : findings) {
        text += finding.file;
        if (finding.line > 0)
            text += ":" + std::to_string(finding.line) + ":" + std::to_string(finding.column);
        text += ": " + finding.message + "\n";
    }
    return text;
}

std::string nearestName(std::string_view name, std::span<const std::string_view> known)
{
    std::string best;
    std::size_t bestDistance = MaxDistance + 1;
    for (std::string_view candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance >= bestDistance)
            continue;
        best = candidate;
        bestDistance = distance;
    }
    return best;
}

} // namespace Trefoil
