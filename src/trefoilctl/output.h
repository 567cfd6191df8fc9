#pragma once

#include <string>

namespace Trefoil {

// The reply of an entry as text for the terminal.
struct FormattedReply
{
    std::string text;
    bool isOk = false;
    // False when the wait ended before the change was in force on every entry.
    bool isInForce = true;
};

// Formats the JSON reply to `statement`. Aligns tables and marks the column of a syntax error.
FormattedReply formatReply(const std::string &json, const std::string &statement);

} // namespace Trefoil
