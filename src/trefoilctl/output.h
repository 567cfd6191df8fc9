#pragma once

#include <string>

namespace Trefoil {

// An answer of an entry, made readable.
struct FormattedAnswer
{
    std::string text;
    bool isOk = false;
    bool isInForce = true; // false when a wait ended before the change was in force everywhere
};

// Formats the JSON answer to `statement`. Tables are aligned; a syntax error points at its column.
FormattedAnswer formatAnswer(const std::string &json, const std::string &statement);

} // namespace Trefoil
