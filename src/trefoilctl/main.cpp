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
    ExitRefused = 2,     // the statement was refused
    ExitUnreachable = 3, // no entry answered; a change may have happened
    ExitNotInForce = 4,  // accepted, but not in force everywhere within the wait
};

struct Options
{
    ClientOptions client;
    std::vector<std::string> words;
    std::string file;
    bool json = false;
    std::uint64_t number = 0;
    std::uint64_t expectedVersion = 0;
};

// Numbers of commands that were not given one: microseconds since the epoch, never repeated.
std::uint64_t nextNumber()
{
    static std::uint64_t last = 0;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto micros = static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    last = std::max(last + 1, micros);
    return last;
}

int runStatement(const Options &options, const std::string &text)
{
    StatementRequest request;
    request.text = text;
    request.number = options.number > 0 ? options.number : nextNumber();
    if (options.expectedVersion > 0)
        request.expectedVersion = options.expectedVersion;
    try {
        const std::string body = sendStatement(options.client, request);
        const FormattedAnswer answer = formatAnswer(body, text);
        if (options.json)
            std::cout << body << "\n";
        else
            (answer.isOk ? std::cout : std::cerr) << answer.text;
        if (!answer.isOk)
            return ExitRefused;
        return answer.isInForce ? ExitOk : ExitNotInForce;
    } catch (const ClientError &error) {
        std::cerr << "trefoilctl: " << error.what() << "\n";
        std::cerr << "A change may have been accepted. To learn its outcome, send it again with "
                  << "--number " << request.number << "\n";
        return ExitUnreachable;
    }
}

// Runs the lines of a script. Stops at the first one that fails and names it.
int runScript(const Options &options, std::istream &in, const std::string &name)
{
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        if (line.empty() || line.front() == '#')
            continue;
        const int code = runStatement(options, line);
        if (code == ExitOk)
            continue;
        std::cerr << name << ":" << number << ": stopped here\n";
        return code;
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
                std::cerr << "no such line in the history\n";
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
    if (!options.words.empty()) {
        std::string text;
        for (const std::string &word : options.words)
            text += (text.empty() ? "" : " ") + word;
        return runStatement(options, text);
    }
    if (isatty(STDIN_FILENO) != 0)
        return runInteractive(options);
    return runScript(options, std::cin, "standard input");
}

std::string environment(const char *name, const std::string &fallback)
{
    const char *value = std::getenv(name);
    return value ? value : fallback;
}

} // namespace

} // namespace Trefoil

int main(int argc, char **argv)
{
    Trefoil::Options options;
    options.client.operatorName = Trefoil::environment("USER", "operator");
    po::options_description visible("trefoilctl [options] [STATEMENT] - ask and change trefoilrun");
    auto add = visible.add_options();
    add("entry,e", po::value(&options.client.entries)->composing(),
        "operator address of an entry, IP:port; repeat it for more entries to try");
    add("operator,o", po::value(&options.client.operatorName), "your name, sent with changes");
    add("number,n", po::value(&options.number), "number of the change, to send it again safely");
    add("expect", po::value(&options.expectedVersion), "refuse unless at this version");
    add("wait,w", po::value(&options.client.waitMs), "wait up to MS until a change is in force");
    add("file,f", po::value(&options.file), "run the statements of a file, one on each line");
    add("json", po::bool_switch(&options.json), "print answers as JSON");
    add("help,h", "show this text; the statement 'help' shows the language");
    add("version", "show the version");
    po::options_description hidden;
    hidden.add_options()("statement", po::value(&options.words));
    po::options_description all;
    all.add(visible).add(hidden);
    po::positional_options_description positional;
    positional.add("statement", -1);
    try {
        po::variables_map values;
        po::store(po::command_line_parser(argc, argv).options(all).positional(positional).run(),
                  values);
        po::notify(values);
        if (values.count("help") > 0) {
            std::cout << visible;
            return Trefoil::ExitOk;
        }
        if (values.count("version") > 0) {
            std::cout << "trefoilctl " << TREFOIL_VERSION << "\n";
            return Trefoil::ExitOk;
        }
        if (options.client.entries.empty())
            options.client.entries.push_back(
                    Trefoil::environment("TREFOIL_ENTRY", "127.0.0.1:7301"));
        return Trefoil::run(options);
    } catch (const po::error &error) {
        std::cerr << "trefoilctl: " << error.what() << "\n";
        return Trefoil::ExitUsage;
    } catch (const std::exception &error) {
        std::cerr << "trefoilctl: " << error.what() << "\n";
        return Trefoil::ExitUnreachable;
    }
}
