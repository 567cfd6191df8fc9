#pragma once

#include "libserving/commands.h"
#include "libserving/query.h"

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

// The language of operators: `show` queries, `explain`, and commands that change the configuration.

namespace Trefoil {

// Reports an error in a statement at a 1-based column.
class LanguageError : public std::runtime_error
{
public:
    LanguageError(std::size_t column, const std::string &message)
        : std::runtime_error(message)
        , column_(column)
    {}

    std::size_t column() const { return column_; }

private:
    std::size_t column_;
};

// Adds an entry to the replicated log, first as a learner and then as a voter.
struct AddSeat
{
    EntryId entry;
};

struct RemoveSeat
{
    SeatId seat = NoSeat;
};

struct ExplainGroup
{
    GroupId group = 0;
};

struct Help
{};

using Statement = std::variant<ShowQuery, ExplainGroup, Help, Command, AddSeat, RemoveSeat>;

// Parses one statement. Throws LanguageError when it is not valid.
Statement parseStatement(std::string_view text);

// Returns true for statements that change the control state and therefore need a command identity.
bool changesControlState(const Statement &statement);

// Returns the syntax of all statements, and the tables with their columns.
std::string helpText();

} // namespace Trefoil
