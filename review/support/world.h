#pragma once

#include "http.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <vector>

// Starts the programs of the deploy file on loopback addresses, plays the operator, and keeps the
// record of a case.

namespace Review {

struct Node
{
    std::string name;
    std::string role; // "entry" or "control"
    std::string address;
    pid_t pid = -1;
};

// One case: its processes, its record and its verdict.
class World
{
public:
    // `program` is the path of trefoilrund. The record is written to `recordPath`.
    World(std::string program, const std::string &recordPath);
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    // Ends all processes and removes the temporary folder. The world stays usable, since threads of
    // stand-ins may still refer to it.
    void finish();

    // False when the case runs without the disruption (TROUBLE=0).
    bool hasTrouble() const { return hasTrouble_; }

    void startNodes(int controls, int entries);
    Node &node(const std::string &name);
    void start(Node &node);
    void signalNode(Node &node, int signal);

    std::string callerAddress(const Node &node) const { return node.address + ":7001"; }
    std::string controlAddress(const Node &node) const { return node.address + ":7003"; }
    std::string directoryAddress(const Node &node) const { return node.address + ":7004"; }
    std::vector<std::string> controlAddresses() const;
    // Returns an address for a stand-in.
    std::string workerAddress(int number) const;

    // Sends the configuration to any control node until it is acknowledged. Returns the address
    // that acknowledged it, or an empty string when none did in time.
    std::string publish(const std::string &configuration, Milliseconds timeout);

    // Returns whether the entry says that it is ready.
    bool isReady(const Node &node) const;

    // Seconds since the start of the case.
    double seconds() const;
    void record(const std::string &line);
    // Records that the rule was broken.
    void breakRule(const std::string &line);
    int violations() const { return violations_; }

    // Set when the case ends; threads of stand-ins stop then.
    std::atomic<bool> isOver{false};

private:
    std::string program_;
    std::string folder_;
    std::string network_;
    std::vector<Node> nodes_;
    bool hasTrouble_ = true;
    bool isFirstStart_ = true;
    std::FILE *record_ = nullptr;
    std::mutex recordMutex_;
    std::atomic<int> violations_{0};
    TimePoint startedAt_ = Clock::now();
};

// Waits until the condition holds. Returns false after the timeout.
bool waitUntil(Milliseconds timeout, const std::function<bool()> &condition);

void sleepFor(Milliseconds duration);

// Runs a case: `run` returns false when the case could not be played. Returns the exit code of the
// script.
int runCase(int argc, char *argv[], const std::function<bool(World &)> &run);

} // namespace Review
