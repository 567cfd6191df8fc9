#include "libruntime/findings.h"

#include <algorithm>
#include <numeric>

namespace Trefoil {

namespace {

constexpr std::size_t MaxEditDistance = 3;

// Returns the Levenshtein distance.
std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> distances(b.size() + 1);
    std::iota(distances.begin(), distances.end(), 0);
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = distances[0];
        distances[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = distances[j + 1];
            distances[j + 1] = std::min({distances[j + 1] + 1, distances[j] + 1, substituted});
        }
    }
    return distances.back();
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
    std::size_t bestDistance = MaxEditDistance + 1;
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
