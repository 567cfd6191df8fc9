#include "trefoilctl/client.h"
#include "trefoilctl/output.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace po = boost::program_options;

namespace Trefoil {

namespace {

enum ExitCode {
    ExitOk = 0,
    ExitUsage = 1,
    // The statement was refused.
    ExitRefused = 2,
    // No entry answered. A change may have been accepted.
    ExitUnreachable = 3,
    // The change was accepted, but was not in force on every entry when the wait ended.
    ExitNotInForce = 4,
};

struct Options
{
    ClientOptions client;
    std::vector<std::string> statementWords;
    std::string file;
    bool printsJson = false;
    // 0 selects a new number for each statement.
    std::uint64_t commandNumber = 0;
    // 0 allows any version.
    std::uint64_t expectedVersion = 0;
};

// Returns a command number that this process has not used: the microseconds since the epoch, or the
// last number plus one if that is larger.
std::uint64_t nextCommandNumber()
{
    static std::uint64_t lastNumber = 0;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto microseconds = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    lastNumber = std::max(lastNumber + 1, microseconds);
    return lastNumber;
}

int runStatement(const Options &options, const std::string &text)
{
    StatementRequest request;
    request.text = text;
    request.commandNumber = options.commandNumber > 0 ? options.commandNumber : nextCommandNumber();
    if (options.expectedVersion > 0)
        request.expectedVersion = options.expectedVersion;
    try {
        const std::string body = sendStatement(options.client, request);
        const FormattedReply reply = formatReply(body, text);
        if (options.printsJson)
            std::cout << body << "\n";
        else
            (reply.isOk ? std::cout : std::cerr) << reply.text;
        if (!reply.isOk)
            return ExitRefused;
        return reply.isInForce ? ExitOk : ExitNotInForce;
    } catch (const ClientError &error) {
        std::cerr << "trefoilctl: " << error.what() << "\n";
        std::cerr << "A change may have been accepted. To learn its outcome, send it again with "
                  << "--number " << request.commandNumber << "\n";
        return ExitUnreachable;
    }
}

// Runs a script with one statement per line. Stops at the first statement that fails and prints its
// line number.
int runScript(const Options &options, std::istream &in, const std::string &name)
{
    std::string line;
    for (std::size_t lineNumber = 1; std::getline(in, line); ++lineNumber) {
        if (line.empty() || line.front() == '#')
            continue;
        const int exitCode = runStatement(options, line);
        if (exitCode == ExitOk)
            continue;
        std::cerr << name << ":" << lineNumber << ": statement failed, script stopped\n";
        return exitCode;
    }
    return ExitOk;
}

int runInteractive(const Options &options)
{
    std::vector<std::string> history;
    std::string line;
    while (std::cout << "trefoil> " << std::flush && std::getline(std::cin, line)) {
        if (line == "quit" || line == "exit")
            break;
        if (line == "history") {
            for (std::size_t i = 0; i < history.size(); ++i)
                std::cout << i + 1 << "  " << history[i] << "\n";
            continue;
        }
        if (line.size() > 1 && line.front() == '!') {
            const std::size_t index = std::strtoul(line.c_str() + 1, nullptr, 10);
            if (index == 0 || index > history.size()) {
                std::cerr << "the history has no such line\n";
                continue;
            }
            line = history[index - 1];
            std::cout << line << "\n";
        }
        if (line.empty())
            continue;
        history.push_back(line);
        runStatement(options, line);
    }
    return ExitOk;
}

int run(const Options &options)
{
    if (!options.file.empty()) {
        std::ifstream in(options.file);
        if (!in) {
            std::cerr << "trefoilctl: cannot read '" << options.file << "'\n";
            return ExitUsage;
        }
        return runScript(options, in, options.file);
    }
    if (!options.statementWords.empty()) {
        std::string text;
        for (const std::string &word : options.statementWords)
            text += (text.empty() ? "" : " ") + word;
        return runStatement(options, text);
    }
    if (isatty(STDIN_FILENO) != 0)
        return runInteractive(options);
    return runScript(options, std::cin, "standard input");
}

std::string readEnvironment(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value ? value : fallback;
}

} // namespace

} // namespace Trefoil

int main(int argc, char **argv)
{
    Trefoil::Options options;
    options.client.operatorName = Trefoil::readEnvironment("USER", "operator");
    po::options_description visibleOptions(
            "trefoilctl [options] [STATEMENT] - query and control trefoilrun");
    auto add = visibleOptions.add_options();
    add("entry,e", po::value(&options.client.entryAddresses)->composing(),
        "operator address of an entry, IP:port; may be repeated, the entries are tried in order");
    add("operator,o", po::value(&options.client.operatorName), "your name, sent with changes");
    add("number,n", po::value(&options.commandNumber),
        "number of the change, for sending it again without a second effect");
    add("expect", po::value(&options.expectedVersion),
        "refuse the change unless the configuration is at this version");
    add("wait,w", po::value(&options.client.waitMs),
        "wait up to MS milliseconds until a change is in force");
    add("file,f", po::value(&options.file), "run the statements of a file, one per line");
    add("json", po::bool_switch(&options.printsJson), "print replies as JSON");
    add("help,h", "show this text; the statement 'help' shows the statements");
    add("version", "show the version");
    po::options_description hiddenOptions;
    hiddenOptions.add_options()("statement", po::value(&options.statementWords));
    po::options_description allOptions;
    allOptions.add(visibleOptions).add(hiddenOptions);
    po::positional_options_description positional;
    positional.add("statement", -1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv)
                          .options(allOptions)
                          .positional(positional)
                          .run(),
                  values);
        po::notify(values);
        if (values.count("help") > 0) {
            std::cout << visibleOptions;
            return Trefoil::ExitOk;
        }
        if (values.count("version") > 0) {
            std::cout << "trefoilctl " << TREFOIL_VERSION << "\n";
            return Trefoil::ExitOk;
        }
        if (options.client.entryAddresses.empty())
            options.client.entryAddresses.push_back(
                    Trefoil::readEnvironment("TREFOIL_ENTRY", "127.0.0.1:7301"));
        return Trefoil::run(options);
    } catch (const po::error &error) {
        std::cerr << "trefoilctl: " << error.what() << "\n";
        return Trefoil::ExitUsage;
    } catch (const std::exception &error) {
        std::cerr << "trefoilctl: " << error.what() << "\n";
        return Trefoil::ExitUnreachable;
    }
}
