#include "libserving/language.h"

#include <tao/pegtl.hpp>

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <set>

namespace Trefoil {

namespace {

namespace peg = tao::pegtl;

enum class TokenKind { Word, Text, Number, Operator };

struct Token
{
    TokenKind kind;
    std::string text;
    std::size_t column;
};

// clang-format off
struct NameChar : peg::sor<peg::alnum, peg::one<'_', '-', '.', ':', '/', '@'>> {};
struct Number : peg::seq<peg::opt<peg::one<'-'>>, peg::plus<peg::digit>,
                         peg::opt<peg::one<'.'>, peg::plus<peg::digit>>, peg::not_at<NameChar>> {};
struct Word : peg::plus<NameChar> {};
struct QuotedChars : peg::star<peg::not_one<'"', '\n'>> {};
struct Quoted : peg::if_must<peg::one<'"'>, QuotedChars, peg::one<'"'>> {};
struct Operator : peg::sor<peg::string<'!', '='>, peg::string<'<', '='>, peg::string<'>', '='>,
                           peg::one<'=', '<', '>', ','>> {};
struct AnyToken : peg::sor<Quoted, Number, Word, Operator> {};
struct Tokens : peg::must<peg::star<peg::space>, peg::star<AnyToken, peg::star<peg::space>>,
                          peg::eof> {};
// clang-format on

template <class Rule>
struct TokenAction : peg::nothing<Rule>
{};

template <TokenKind Kind>
struct AddToken
{
    template <class Input>
    static void apply(const Input &in, std::vector<Token> &tokens)
    {
        tokens.push_back({Kind, in.string(), in.position().column});
    }
};

template <>
struct TokenAction<Word> : AddToken<TokenKind::Word>
{};
template <>
struct TokenAction<Number> : AddToken<TokenKind::Number>
{};
template <>
struct TokenAction<QuotedChars> : AddToken<TokenKind::Text>
{};
template <>
struct TokenAction<Operator> : AddToken<TokenKind::Operator>
{};

std::vector<Token> tokenize(std::string_view text)
{
    std::vector<Token> tokens;
    peg::memory_input input(text.data(), text.size(), "statement");
    try {
        peg::parse<Tokens, TokenAction>(input, tokens);
    } catch (const peg::parse_error &error) {
        const std::size_t column = error.positions().front().column;
        throw LanguageError(column, "unexpected character");
    }
    return tokens;
}

// Reads tokens in order and reports errors at their columns.
class Cursor
{
public:
    Cursor(std::vector<Token> tokens, std::size_t length)
        : tokens_(std::move(tokens))
        , endColumn_(length + 1)
    {}

    bool atEnd() const { return next_ >= tokens_.size(); }
    std::size_t column() const { return atEnd() ? endColumn_ : tokens_[next_].column; }

    [[noreturn]] void fail(const std::string &message) const
    {
        throw LanguageError(column(), message);
    }

    bool isWord(std::string_view word) const
    {
        return !atEnd() && tokens_[next_].kind == TokenKind::Word && tokens_[next_].text == word;
    }

    bool takeWord(std::string_view word)
    {
        if (!isWord(word))
            return false;
        ++next_;
        return true;
    }

    bool takeOperator(std::string_view op)
    {
        const bool found =
                !atEnd() && tokens_[next_].kind == TokenKind::Operator && tokens_[next_].text == op;
        next_ += found ? 1 : 0;
        return found;
    }

    Token takeToken(const std::string &expected)
    {
        if (atEnd() || tokens_[next_].kind == TokenKind::Operator)
            fail("expected " + expected);
        return tokens_[next_++];
    }

    std::string takeOperator()
    {
        if (atEnd() || tokens_[next_].kind != TokenKind::Operator)
            fail("expected =, !=, <, <=, > or >=");
        return tokens_[next_++].text;
    }

    double takeNumber(const std::string &expected)
    {
        const Token token = peek(expected);
        double value = 0;
        const char *end = token.text.data() + token.text.size();
        const auto parsed = std::from_chars(token.text.data(), end, value);
        if (token.kind != TokenKind::Number || parsed.ec != std::errc() || parsed.ptr != end)
            fail("expected " + expected);
        ++next_;
        return value;
    }

    std::uint64_t takeInteger(const std::string &expected)
    {
        const Token token = peek(expected);
        std::uint64_t value = 0;
        const char *end = token.text.data() + token.text.size();
        const auto parsed = std::from_chars(token.text.data(), end, value);
        if (token.kind != TokenKind::Number || parsed.ec != std::errc() || parsed.ptr != end)
            fail("expected " + expected);
        ++next_;
        return value;
    }

    std::uint32_t takeCount(const std::string &expected)
    {
        const std::size_t at = column();
        const std::uint64_t value = takeInteger(expected);
        if (value > UINT32_MAX)
            throw LanguageError(at, "number is too large");
        return static_cast<std::uint32_t>(value);
    }

    void expectEnd() const
    {
        if (!atEnd())
            fail("unexpected '" + tokens_[next_].text + "'");
    }

private:
    Token peek(const std::string &expected) const
    {
        if (atEnd())
            fail("expected " + expected);
        return tokens_[next_];
    }

    std::vector<Token> tokens_;
    std::size_t next_ = 0;
    std::size_t endColumn_;
};

using ParseFunction = Statement (*)(Cursor &);

struct StatementForm
{
    std::string_view verb;
    std::string_view object; // empty when the verb stands alone or takes a table
    std::string_view form;
    ParseFunction parse;
};

std::string takeName(Cursor &cursor, const std::string &what)
{
    return cursor.takeToken(what).text;
}

Statement parseSetWorkspace(Cursor &cursor)
{
    SetWorkspace command;
    command.workspace.id = takeName(cursor, "a workspace name");
    if (!cursor.takeWord("weight"))
        cursor.fail("expected 'weight'");
    command.workspace.weight = cursor.takeNumber("a weight");
    return Command(command);
}

Statement parseRemoveWorkspace(Cursor &cursor)
{
    return Command(RemoveWorkspace{takeName(cursor, "a workspace name")});
}

using DeploymentClause = std::function<void(Cursor &, SetDeployment &)>;

const std::map<std::string, DeploymentClause> &deploymentClauses()
{
    static const std::map<std::string, DeploymentClause> clauses = {
            {"model", [](Cursor &c, SetDeployment &d) { d.model = takeName(c, "a model name"); }},
            {"version",
             [](Cursor &c, SetDeployment &d) { d.version = takeName(c, "a version name"); }},
            {"placement",
             [](Cursor &c, SetDeployment &d) { d.placement = takeName(c, "a placement policy"); }},
            {"vms-per-group",
             [](Cursor &c, SetDeployment &d) { d.vmsPerGroup = c.takeCount("a number of VMs"); }},
            {"groups",
             [](Cursor &c, SetDeployment &d) { d.groups = c.takeCount("a number of groups"); }},
            {"downtime-weight",
             [](Cursor &c, SetDeployment &d) { d.downtimeWeight = c.takeNumber("a weight"); }},
            {"stranded-weight",
             [](Cursor &c, SetDeployment &d) { d.strandedWeight = c.takeNumber("a weight"); }},
    };
    return clauses;
}

Statement parseSetDeployment(Cursor &cursor)
{
    SetDeployment command;
    command.deployment = takeName(cursor, "a deployment name");
    std::set<std::string> seen;
    while (!cursor.atEnd()) {
        const std::size_t column = cursor.column();
        const std::string name = takeName(cursor, "a clause");
        const auto clause = deploymentClauses().find(name);
        if (clause == deploymentClauses().end())
            throw LanguageError(column, "unknown clause '" + name + "'");
        if (!seen.insert(name).second)
            throw LanguageError(column, "clause '" + name + "' stands twice");
        clause->second(cursor, command);
    }
    return Command(command);
}

Statement parseRemoveDeployment(Cursor &cursor)
{
    return Command(RemoveDeployment{takeName(cursor, "a deployment name")});
}

Statement parseDrainEntry(Cursor &cursor)
{
    return Command(SetEntryDraining{takeName(cursor, "an entry name"), true});
}

Statement parseUndrainEntry(Cursor &cursor)
{
    return Command(SetEntryDraining{takeName(cursor, "an entry name"), false});
}

Statement parseDrainVm(Cursor &cursor)
{
    return Command(SetVmStatus{takeName(cursor, "a VM name"), 0, VmStatus::Draining});
}

Statement parseUndrainVm(Cursor &cursor)
{
    return Command(SetVmStatus{takeName(cursor, "a VM name"), 0, VmStatus::Active});
}

Statement parseForgetVm(Cursor &cursor)
{
    return Command(ForgetVm{takeName(cursor, "a VM name")});
}

Statement parseDrainGroup(Cursor &cursor)
{
    return Command(DrainGroup{cursor.takeInteger("a group number")});
}

Statement parseMoveGroup(Cursor &cursor)
{
    SetDispatcher command;
    command.group = cursor.takeInteger("a group number");
    if (!cursor.takeWord("to"))
        cursor.fail("expected 'to'");
    command.dispatcher = takeName(cursor, "an entry name");
    return Command(command);
}

Statement parseAddSeat(Cursor &cursor)
{
    return AddSeat{takeName(cursor, "an entry name")};
}

Statement parseRemoveSeat(Cursor &cursor)
{
    return RemoveSeat{cursor.takeInteger("a seat number")};
}

Statement parseExplainGroup(Cursor &cursor)
{
    return ExplainGroup{cursor.takeInteger("a group number")};
}

Statement parseHelp(Cursor &)
{
    return Help{};
}

std::size_t takeColumn(Cursor &cursor, const TableSpec &table)
{
    const std::size_t at = cursor.column();
    const std::string name = takeName(cursor, "a column name");
    const auto column = findColumn(table, name);
    if (!column)
        throw LanguageError(at,
                            "table '" + std::string(table.name) + "' has no column '" + name + "'");
    return *column;
}

Comparison takeComparison(Cursor &cursor)
{
    static const std::map<std::string, Comparison> comparisons = {
            {"=", Comparison::Equal},   {"!=", Comparison::NotEqual},
            {"<", Comparison::Less},    {"<=", Comparison::LessEqual},
            {">", Comparison::Greater}, {">=", Comparison::GreaterEqual},
    };
    const std::size_t at = cursor.column();
    const auto found = comparisons.find(cursor.takeOperator());
    if (found == comparisons.end())
        throw LanguageError(at, "expected =, !=, <, <=, > or >=");
    return found->second;
}

Cell takeValue(Cursor &cursor)
{
    const Token token = cursor.takeToken("a value");
    if (token.kind != TokenKind::Number)
        return token.text;
    double value = 0;
    std::from_chars(token.text.data(), token.text.data() + token.text.size(), value);
    return value;
}

void parseWhere(Cursor &cursor, const TableSpec &table, ShowQuery &query)
{
    do {
        Condition condition;
        const std::size_t at = cursor.column();
        condition.column = takeColumn(cursor, table);
        if (table.columns[condition.column].merge == ColumnMerge::Histogram)
            throw LanguageError(at, "a histogram cannot be compared");
        condition.comparison = takeComparison(cursor);
        condition.value = takeValue(cursor);
        query.where.push_back(std::move(condition));
    } while (cursor.takeWord("and"));
}

void parseBy(Cursor &cursor, const TableSpec &table, ShowQuery &query)
{
    do {
        const std::size_t at = cursor.column();
        const std::size_t column = takeColumn(cursor, table);
        if (table.columns[column].merge != ColumnMerge::Key)
            throw LanguageError(at, "rows can only be grouped by a key column");
        query.by.push_back(column);
    } while (cursor.takeOperator(","));
}

Statement parseShow(Cursor &cursor)
{
    const std::size_t at = cursor.column();
    const std::string name = takeName(cursor, "a table name");
    const TableSpec *table = findTable(name);
    if (!table)
        throw LanguageError(at, "no table '" + name + "'");
    ShowQuery query;
    query.table = name;
    if (cursor.takeWord("where"))
        parseWhere(cursor, *table, query);
    if (cursor.takeWord("by"))
        parseBy(cursor, *table, query);
    if (cursor.takeWord("limit"))
        query.limit = cursor.takeCount("a number of rows");
    return query;
}

constexpr StatementForm Forms[] = {
        {"show", "", "show TABLE [where COLUMN OP VALUE [and ...]] [by COLUMN[, ...]] [limit N]",
         parseShow},
        {"explain", "group", "explain group NUMBER", parseExplainGroup},
        {"set", "workspace", "set workspace NAME weight NUMBER", parseSetWorkspace},
        {"remove", "workspace", "remove workspace NAME", parseRemoveWorkspace},
        {"set", "deployment",
         "set deployment NAME [model NAME] [version NAME] [groups N] [vms-per-group N] "
         "[placement NAME] [downtime-weight X] [stranded-weight X]",
         parseSetDeployment},
        {"remove", "deployment", "remove deployment NAME", parseRemoveDeployment},
        {"drain", "entry", "drain entry NAME", parseDrainEntry},
        {"undrain", "entry", "undrain entry NAME", parseUndrainEntry},
        {"drain", "vm", "drain vm NAME", parseDrainVm},
        {"undrain", "vm", "undrain vm NAME", parseUndrainVm},
        {"forget", "vm", "forget vm NAME", parseForgetVm},
        {"drain", "group", "drain group NUMBER", parseDrainGroup},
        {"move", "group", "move group NUMBER to ENTRY", parseMoveGroup},
        {"add", "seat", "add seat ENTRY", parseAddSeat},
        {"remove", "seat", "remove seat NUMBER", parseRemoveSeat},
        {"help", "", "help", parseHelp},
};

std::string expectedObjects(const std::string &verb)
{
    std::string expected;
    for (const StatementForm &form : Forms) {
        if (form.verb == verb)
            expected += (expected.empty() ? "'" : " or '") + std::string(form.object) + "'";
    }
    return expected;
}

const StatementForm &takeForm(Cursor &cursor)
{
    const std::size_t at = cursor.column();
    const std::string verb = takeName(cursor, "a statement; try 'help'");
    bool verbKnown = false;
    for (const StatementForm &form : Forms) {
        if (form.verb != verb)
            continue;
        verbKnown = true;
        if (form.object.empty() || cursor.takeWord(form.object))
            return form;
    }
    if (!verbKnown)
        throw LanguageError(at, "unknown statement '" + verb + "'; try 'help'");
    cursor.fail("expected " + expectedObjects(verb));
}

} // namespace

Statement parseStatement(std::string_view text)
{
    Cursor cursor(tokenize(text), text.size());
    const StatementForm &form = takeForm(cursor);
    Statement statement = form.parse(cursor);
    cursor.expectEnd();
    return statement;
}

bool isChange(const Statement &statement)
{
    return std::holds_alternative<Command>(statement) || std::holds_alternative<AddSeat>(statement)
           || std::holds_alternative<RemoveSeat>(statement);
}

std::string helpText()
{
    std::string text = "Statements:\n";
    for (const StatementForm &form : Forms)
        text += "  " + std::string(form.form) + "\n";
    text += "\nTables:\n";
    for (const TableSpec &table : tableSpecs()) {
        text += "  " + std::string(table.name) + ": " + std::string(table.help) + "\n";
        for (const ColumnSpec &column : table.columns)
            text += "    " + std::string(column.name) + ": " + std::string(column.help) + "\n";
    }
    return text;
}

} // namespace Trefoil
