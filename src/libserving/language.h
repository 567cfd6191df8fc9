#pragma once

#include "libserving/commands.h"
#include "libserving/query.h"

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

// The operators' language: `show` queries, `explain`, and commands that change the configuration.

namespace Trefoil {

// Error in a statement, with the 1-based column at which it was found.
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

// Makes an entry a voter of the replicated log, first as a learner.
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

// Throws LanguageError.
Statement parseStatement(std::string_view text);

// True for statements that change the control state and so carry a command identity.
bool isChange(const Statement &statement);

// Forms of all statements and the tables with their columns.
std::string helpText();

} // namespace Trefoil
