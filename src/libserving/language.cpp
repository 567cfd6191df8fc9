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

// Reads the tokens of a statement in order and reports errors at their columns.
class TokenReader
{
public:
    TokenReader(std::vector<Token> tokens, std::size_t length)
        : tokens_(std::move(tokens))
        , endColumn_(length + 1)
    {}

    bool isAtEnd() const { return next_ >= tokens_.size(); }
    std::size_t column() const { return isAtEnd() ? endColumn_ : tokens_[next_].column; }

    [[noreturn]] void fail(const std::string &message) const
    {
        throw LanguageError(column(), message);
    }

    bool isWord(std::string_view word) const
    {
        return !isAtEnd() && tokens_[next_].kind == TokenKind::Word && tokens_[next_].text == word;
    }

    // Consumes the next token if it is the given word. Returns whether it was.
    bool takeWord(std::string_view word)
    {
        if (!isWord(word))
            return false;
        ++next_;
        return true;
    }

    // Consumes the next token if it is the given operator. Returns whether it was.
    bool takeOperator(std::string_view op)
    {
        const bool found = !isAtEnd() && tokens_[next_].kind == TokenKind::Operator
                           && tokens_[next_].text == op;
        next_ += found ? 1 : 0;
        return found;
    }

    // Consumes a word, a text or a number. `expected` describes it in the error message.
    Token takeToken(const std::string &expected)
    {
        if (isAtEnd() || tokens_[next_].kind == TokenKind::Operator)
            fail("expected " + expected);
        return tokens_[next_++];
    }

    std::string takeOperator()
    {
        if (isAtEnd() || tokens_[next_].kind != TokenKind::Operator)
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
        const std::size_t startColumn = column();
        const std::uint64_t value = takeInteger(expected);
        if (value > UINT32_MAX)
            throw LanguageError(startColumn, "number is too large");
        return static_cast<std::uint32_t>(value);
    }

    void expectEnd() const
    {
        if (!isAtEnd())
            fail("unexpected '" + tokens_[next_].text + "'");
    }

private:
    Token peek(const std::string &expected) const
    {
        if (isAtEnd())
            fail("expected " + expected);
        return tokens_[next_];
    }

    std::vector<Token> tokens_;
    std::size_t next_ = 0;
    std::size_t endColumn_;
};

using ParseFunction = Statement (*)(TokenReader &);

struct StatementSyntax
{
    std::string_view verb;
    // The second word, or empty when the statement has none or names a table.
    std::string_view object;
    std::string_view syntax;
    ParseFunction parse;
};

std::string takeName(TokenReader &reader, const std::string &what)
{
    return reader.takeToken(what).text;
}

Statement parseSetWorkspace(TokenReader &reader)
{
    SetWorkspace command;
    command.workspace.id = takeName(reader, "a workspace name");
    if (!reader.takeWord("weight"))
        reader.fail("expected 'weight'");
    command.workspace.weight = reader.takeNumber("a weight");
    return Command(command);
}

Statement parseRemoveWorkspace(TokenReader &reader)
{
    return Command(RemoveWorkspace{takeName(reader, "a workspace name")});
}

using DeploymentClauseParser = std::function<void(TokenReader &, SetDeployment &)>;

const std::map<std::string, DeploymentClauseParser> &deploymentClauses()
{
    static const std::map<std::string, DeploymentClauseParser> clauses = {
            {"model",
             [](TokenReader &reader, SetDeployment &command) {
                 command.model = takeName(reader, "a model name");
             }},
            {"version",
             [](TokenReader &reader, SetDeployment &command) {
                 command.version = takeName(reader, "a version name");
             }},
            {"placement",
             [](TokenReader &reader, SetDeployment &command) {
                 command.placement = takeName(reader, "a placement policy");
             }},
            {"vms-per-group",
             [](TokenReader &reader, SetDeployment &command) {
                 command.vmsPerGroup = reader.takeCount("a number of VMs");
             }},
            {"groups",
             [](TokenReader &reader, SetDeployment &command) {
                 command.groups = reader.takeCount("a number of groups");
             }},
            {"downtime-weight",
             [](TokenReader &reader, SetDeployment &command) {
                 command.downtimeWeight = reader.takeNumber("a weight");
             }},
            {"stranded-weight",
             [](TokenReader &reader, SetDeployment &command) {
                 command.strandedWeight = reader.takeNumber("a weight");
             }},
    };
    return clauses;
}

Statement parseSetDeployment(TokenReader &reader)
{
    SetDeployment command;
    command.deployment = takeName(reader, "a deployment name");
    std::set<std::string> seen;
    while (!reader.isAtEnd()) {
        const std::size_t column = reader.column();
        const std::string name = takeName(reader, "a clause");
        const auto clause = deploymentClauses().find(name);
        if (clause == deploymentClauses().end())
            throw LanguageError(column, "unknown clause '" + name + "'");
        if (!seen.insert(name).second)
            throw LanguageError(column, "clause '" + name + "' stands twice");
        clause->second(reader, command);
    }
    return Command(command);
}

Statement parseRemoveDeployment(TokenReader &reader)
{
    return Command(RemoveDeployment{takeName(reader, "a deployment name")});
}

Statement parseDrainEntry(TokenReader &reader)
{
    return Command(SetEntryDraining{takeName(reader, "an entry name"), true});
}

Statement parseUndrainEntry(TokenReader &reader)
{
    return Command(SetEntryDraining{takeName(reader, "an entry name"), false});
}

Statement parseDrainVm(TokenReader &reader)
{
    return Command(SetVmStatus{takeName(reader, "a VM name"), 0, VmStatus::Draining});
}

Statement parseUndrainVm(TokenReader &reader)
{
    return Command(SetVmStatus{takeName(reader, "a VM name"), 0, VmStatus::Active});
}

Statement parseForgetVm(TokenReader &reader)
{
    return Command(ForgetVm{takeName(reader, "a VM name")});
}

Statement parseDrainGroup(TokenReader &reader)
{
    return Command(DrainGroup{reader.takeInteger("a group number")});
}

Statement parseMoveGroup(TokenReader &reader)
{
    SetDispatcher command;
    command.group = reader.takeInteger("a group number");
    if (!reader.takeWord("to"))
        reader.fail("expected 'to'");
    command.dispatcher = takeName(reader, "an entry name");
    return Command(command);
}

Statement parseAddSeat(TokenReader &reader)
{
    return AddSeat{takeName(reader, "an entry name")};
}

Statement parseRemoveSeat(TokenReader &reader)
{
    return RemoveSeat{reader.takeInteger("a seat number")};
}

Statement parseExplainGroup(TokenReader &reader)
{
    return ExplainGroup{reader.takeInteger("a group number")};
}

Statement parseHelp(TokenReader &)
{
    return Help{};
}

std::size_t takeColumn(TokenReader &reader, const TableSpec &table)
{
    const std::size_t startColumn = reader.column();
    const std::string name = takeName(reader, "a column name");
    const auto column = findColumn(table, name);
    if (!column)
        throw LanguageError(startColumn,
                            "table '" + std::string(table.name) + "' has no column '" + name + "'");
    return *column;
}

Comparison takeComparison(TokenReader &reader)
{
    static const std::map<std::string, Comparison> comparisons = {
            {"=", Comparison::Equal},   {"!=", Comparison::NotEqual},
            {"<", Comparison::Less},    {"<=", Comparison::LessEqual},
            {">", Comparison::Greater}, {">=", Comparison::GreaterEqual},
    };
    const std::size_t startColumn = reader.column();
    const auto found = comparisons.find(reader.takeOperator());
    if (found == comparisons.end())
        throw LanguageError(startColumn, "expected =, !=, <, <=, > or >=");
    return found->second;
}

Cell takeValue(TokenReader &reader)
{
    const Token token = reader.takeToken("a value");
    if (token.kind != TokenKind::Number)
        return token.text;
    double value = 0;
    std::from_chars(token.text.data(), token.text.data() + token.text.size(), value);
    return value;
}

void parseWhere(TokenReader &reader, const TableSpec &table, ShowQuery &query)
{
    do {
        Condition condition;
        const std::size_t startColumn = reader.column();
        condition.column = takeColumn(reader, table);
        if (table.columns[condition.column].merge == ColumnMerge::Histogram)
            throw LanguageError(startColumn, "a histogram cannot be compared");
        condition.comparison = takeComparison(reader);
        condition.value = takeValue(reader);
        query.where.push_back(std::move(condition));
    } while (reader.takeWord("and"));
}

void parseBy(TokenReader &reader, const TableSpec &table, ShowQuery &query)
{
    do {
        const std::size_t startColumn = reader.column();
        const std::size_t column = takeColumn(reader, table);
        if (table.columns[column].merge != ColumnMerge::Key)
            throw LanguageError(startColumn, "rows can only be grouped by a key column");
        query.groupBy.push_back(column);
    } while (reader.takeOperator(","));
}

Statement parseShow(TokenReader &reader)
{
    const std::size_t startColumn = reader.column();
    const std::string name = takeName(reader, "a table name");
    const TableSpec *table = findTable(name);
    if (!table)
        throw LanguageError(startColumn, "no table '" + name + "'");
    ShowQuery query;
    query.table = name;
    if (reader.takeWord("where"))
        parseWhere(reader, *table, query);
    if (reader.takeWord("by"))
        parseBy(reader, *table, query);
    if (reader.takeWord("limit"))
        query.limit = reader.takeCount("a number of rows");
    return query;
}

constexpr StatementSyntax StatementSyntaxes[] = {
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

// Returns the objects that can follow a verb, for an error message.
std::string expectedObjects(const std::string &verb)
{
    std::string expected;
    for (const StatementSyntax &syntax : StatementSyntaxes) {
        if (syntax.verb == verb)
            expected += (expected.empty() ? "'" : " or '") + std::string(syntax.object) + "'";
    }
    return expected;
}

// Consumes the first words of a statement and returns its syntax.
const StatementSyntax &takeSyntax(TokenReader &reader)
{
    const std::size_t startColumn = reader.column();
    const std::string verb = takeName(reader, "a statement; try 'help'");
    bool isVerbKnown = false;
    for (const StatementSyntax &syntax : StatementSyntaxes) {
        if (syntax.verb != verb)
            continue;
        isVerbKnown = true;
        if (syntax.object.empty() || reader.takeWord(syntax.object))
            return syntax;
    }
    if (!isVerbKnown)
        throw LanguageError(startColumn, "unknown statement '" + verb + "'; try 'help'");
    reader.fail("expected " + expectedObjects(verb));
}

} // namespace

Statement parseStatement(std::string_view text)
{
    TokenReader reader(tokenize(text), text.size());
    const StatementSyntax &syntax = takeSyntax(reader);
    Statement statement = syntax.parse(reader);
    reader.expectEnd();
    return statement;
}

bool changesControlState(const Statement &statement)
{
    return std::holds_alternative<Command>(statement) || std::holds_alternative<AddSeat>(statement)
           || std::holds_alternative<RemoveSeat>(statement);
}

std::string helpText()
{
    std::string text = "Statements:\n";
    for (const StatementSyntax &syntax : StatementSyntaxes)
        text += "  " + std::string(syntax.syntax) + "\n";
    text += "\nTables:\n";
    for (const TableSpec &table : tableSpecs()) {
        text += "  " + std::string(table.name) + ": " + std::string(table.help) + "\n";
        for (const ColumnSpec &column : table.columns)
            text += "    " + std::string(column.name) + ": " + std::string(column.help) + "\n";
    }
    return text;
}

} // namespace Trefoil
