#pragma once

#include "world.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <optional>
#include <thread>

// Stand-ins for workers, which follow the pages: plain workers, and model workers that form groups.

namespace Review {

struct Model
{
    std::string name;
    int size = 2;
    double loadSeconds = 16;
    double warmSeconds = 1.6;
};

struct Membership
{
    std::string group;
    std::uint64_t epoch = 0;
    std::size_t rank = 0;
    std::string state; // joining, ready, open, closing or broken
    std::vector<std::string> members;
};

class Fleet;

// A worker that sends heartbeats and serves requests at its own address.
struct Worker
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone = "zone-1";
    std::string state = "ready";
    int slots = 26;
    bool isModelWorker = false;
    bool isRunning = false;
    bool sendsHeartbeats = true;
    std::uint64_t bornMs = 0;
    std::uint64_t sequence = 0;
    std::string heartbeatAddress;

    // Of model workers.
    std::optional<Membership> membership;
    std::string lastModel;
    std::string stagedModel;
    std::string loadingModel;
    TimePoint loadedAt{};
    TimePoint changesAt = TimePoint::max();
    std::string nextState;
    std::uint64_t ordersAccepted = 0;
    std::uint64_t highestToken = 0;
    std::uint64_t highestEpoch = 0;
    int running = 0;

    bool isReportDue = true;
    int listener = -1;
};

// One run of a request at a worker.
struct Run
{
    std::string request;
    std::string worker;
    std::string path;
    std::string tenant;
    double at = 0;
    double endedAt = -1;
    bool wasCompleted = false;
    // The worker itself broke off.
    bool wasBrokenOff = false;
};

// All workers of a case. The state of every worker is guarded by one mutex.
class Fleet
{
public:
    explicit Fleet(World &world)
        : world_(world)
    {}

    // How the plain workers and the streams behave.
    Milliseconds plainWork{15};
    Milliseconds eventGap{100};
    int eventCount = 20;
    Milliseconds heartbeatInterval{1200};
    std::vector<Model> models;
    // Loads are ten times faster before the first request.
    std::atomic<bool> hasTraffic{false};

    // Called when a worker accepts a join, with the mutex held.
    std::function<void(const Worker &, const Membership &)> onJoin;

    Worker &add(const std::string &id, const std::string &service, int number, bool isModelWorker);
    void startWorker(Worker &worker);
    void stopHeartbeats(Worker &worker);
    // Starts the thread that advances the states of the model workers.
    void start();

    // Body of the worker's next heartbeat.
    std::string heartbeatBody(Worker &worker, bool isNext);
    // Sends a departure. Returns the address that acknowledged it, or nothing.
    std::string depart(Worker &worker, const std::string &preferredAddress);

    std::optional<Membership> membershipOf(const std::string &id);
    std::vector<std::string> workerIds();
    Worker *find(const std::string &id);
    std::vector<Run> runs();
    std::vector<Run> runsOf(const std::string &request);

    std::mutex mutex;

private:
    void acceptConnections(Worker &worker, int listener);
    void serveConnection(Worker &worker, int fd);
    std::string answerOrder(Worker &worker, const Message &request);
    int join(Worker &worker, const std::string &group, std::uint64_t epoch,
             const std::string &model, std::vector<std::string> members);
    bool serveStream(Worker &worker, Connection &connection, const Message &request,
                     std::size_t runIndex);
    bool isWhole(const Worker &head);
    void sendHeartbeats(Worker &worker);
    void advance();
    void endRun(std::size_t index, bool wasCompleted, bool wasBrokenOff);

    World &world_;
    std::map<std::string, std::unique_ptr<Worker>> workers_;
    std::vector<Run> runs_;
};

} // namespace Review
