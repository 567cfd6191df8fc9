#include "libserving/fairqueue.h"
#include "libserving/serving.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <queue>

// Compares the fair queue with other policies under overload, in virtual time on one pool of slots.
// Ten workspaces send requests: three flood the pool with long drafts, and one sends a few lookups.

using namespace Trefoil;

namespace {

constexpr std::size_t SlotCounts[] = {32, 256};

// Number of slots that the loads are defined for. Other pools scale the request rates.
constexpr double ReferenceSlots = 32;

// Generation rate of one request.
constexpr double TokensPerSecond = 40;

constexpr double RunSeconds = 120;
constexpr double WindowSeconds = 10;

// Cost of a generated token in prompt tokens.
constexpr double GeneratedTokenCost = 4;

constexpr double ExpectationSmoothing = 0.05;
constexpr double TickSeconds = 0.02;

enum class Policy {
    FairByWork,
    FairByExpectedWork,
    FairByRequests,
    FirstComeFirstServed,
    RateLimited
};

constexpr const char *PolicyNames[] = {"fair by work as it accrues",
                                       "fair by expected work, corrected", "fair by requests",
                                       "first come", "rate limit each"};

// The requests of one workspace.
struct WorkspaceLoad
{
    WorkspaceId workspace;
    double weight;
    double requestsPerSecond;
    double promptTokens;
    double outputTokens;
    RequestClass requestClass;
};

// Returns three floods with different request lengths, six moderate loads and a light one.
std::vector<WorkspaceLoad> makeLoads()
{
    std::vector<WorkspaceLoad> all = {
            {"flood-a", 3, 40, 800, 400, RequestClass::Draft},
            {"flood-b", 2, 60, 100, 600, RequestClass::Lookup},
            {"flood-c", 1, 90, 1500, 60, RequestClass::Batch},
            {"light", 1, 0.5, 60, 8, RequestClass::Lookup},
    };
    for (int i = 0; i < 6; ++i)
        all.push_back({"mid-" + std::to_string(i), 1, 0.2, 300, 100, RequestClass::Draft});
    return all;
}

// A request that waits for a slot.
struct QueuedRequest
{
    std::size_t load = 0;
    double arrivedAt = 0;
    double outputTokens = 0;
};

// A request that occupies a slot.
struct RunningRequest
{
    std::size_t load = 0;
    double doneAt = 0;

    // Generation work that was charged at the start.
    double expectedWork = 0;

    // Generation work done so far.
    double generatedWork = 0;
};

struct Result
{
    // Largest relative deviation of a flooding workspace from its fair share in any window.
    double worstShareError = 0;

    // Time that requests of the light workspace wait.
    double lightP99Ms = 0;

    // Slot time that stays unused while requests wait.
    double idleSlotSeconds = 0;
};

class Simulation
{
public:
    Simulation(Policy policy, std::size_t slots, bool isLightAlone)
        : policy_(policy)
        , slots_(slots)
        , loads_(makeLoads())
        , rng_(7)
    {
        if (isLightAlone)
            std::erase_if(loads_,
                          [](const WorkspaceLoad &load) { return load.workspace != "light"; });
        for (WorkspaceLoad &load : loads_)
            load.requestsPerSecond *= static_cast<double>(slots) / ReferenceSlots;
        for (const WorkspaceLoad &load : loads_)
            setWorkspaceWeight(queue_, load.workspace, load.weight);
        queue_.options.maxQueued = SIZE_MAX;
        queue_.options.maxQueuedPerWorkspace = SIZE_MAX;
        windowWork_.resize(loads_.size());
        rateTokens_.resize(loads_.size(), 1);
    }

    Result run()
    {
        double nextWindow = WindowSeconds;
        for (now_ = 0; now_ < RunSeconds; now_ += TickSeconds) {
            addArrivals();
            finishRequests();
            generateTokens();
            startRequests();
            if (running_.size() < slots_ && queuedCount() > 0 && policy_ != Policy::RateLimited)
                result_.idleSlotSeconds +=
                        TickSeconds * static_cast<double>(slots_ - running_.size());
            if (now_ < nextWindow)
                continue;
            closeWindow(nextWindow > WindowSeconds);
            nextWindow += WindowSeconds;
        }
        std::sort(lightWaitSeconds_.begin(), lightWaitSeconds_.end());
        if (!lightWaitSeconds_.empty())
            result_.lightP99Ms = 1000 * lightWaitSeconds_[lightWaitSeconds_.size() * 99 / 100];
        return result_;
    }

private:
    void addArrivals()
    {
        for (std::size_t i = 0; i < loads_.size(); ++i) {
            std::poisson_distribution<int> count(loads_[i].requestsPerSecond * TickSeconds);
            for (int n = count(rng_); n > 0; --n)
                enqueueRequest(i);
        }
    }

    void enqueueRequest(std::size_t load)
    {
        std::exponential_distribution<double> length(1 / loads_[load].outputTokens);
        const QueuedRequest request{load, now_, std::max(1.0, length(rng_))};
        if (policy_ == Policy::FirstComeFirstServed || policy_ == Policy::RateLimited) {
            fifo_.push_back(request);
            return;
        }
        QueueItem item;
        item.id.number = ++lastRequestNumber_;
        item.requestClass = loads_[load].requestClass;
        item.cost = policy_ == Policy::FairByRequests ? 1 : loads_[load].promptTokens;
        queuedRequests_[lastRequestNumber_] = request;
        enqueue(queue_, loads_[load].workspace, item);
    }

    std::size_t queuedCount() const { return fifo_.size() + queue_.queuedCount; }

    void finishRequests()
    {
        std::erase_if(running_, [this](const RunningRequest &running) {
            if (running.doneAt > now_)
                return false;
            correctCharge(running);
            return true;
        });
    }

    // Refunds the work that was charged but not done, and updates the expected work of the load.
    void correctCharge(const RunningRequest &running)
    {
        if (policy_ != Policy::FairByExpectedWork)
            return;
        const WorkspaceLoad &load = loads_[running.load];
        if (running.generatedWork < running.expectedWork)
            chargeWork(queue_, load.workspace, load.requestClass,
                       running.generatedWork - running.expectedWork);
        double &mean = expectedWork_[running.load];
        mean += ExpectationSmoothing * (running.generatedWork - mean);
    }

    // Adds the work of the running requests in this tick, and charges it if the policy does so.
    void generateTokens()
    {
        for (RunningRequest &running : running_) {
            const double work = TokensPerSecond * TickSeconds * GeneratedTokenCost;
            windowWork_[running.load] += work;
            running.generatedWork += work;
            const bool exceedsExpectation = policy_ == Policy::FairByExpectedWork
                                            && running.generatedWork > running.expectedWork;
            if (policy_ == Policy::FairByWork || exceedsExpectation)
                chargeWork(queue_, loads_[running.load].workspace,
                           loads_[running.load].requestClass, work);
        }
        for (double &tokens : rateTokens_)
            tokens = std::min(4.0, tokens + rateLimitPerSecond() * TickSeconds);
    }

    // Returns an equal part of the requests per second that the pool can process, for an average of
    // 300 tokens.
    double rateLimitPerSecond() const
    {
        return static_cast<double>(slots_) * TokensPerSecond / 300
               / static_cast<double>(loads_.size());
    }

    void startRequests()
    {
        while (running_.size() < slots_) {
            const auto next = dequeueNext();
            if (!next)
                return;
            windowWork_[next->load] += loads_[next->load].promptTokens;
            RunningRequest running{next->load, now_ + next->outputTokens / TokensPerSecond, 0, 0};
            if (policy_ == Policy::FairByExpectedWork) {
                running.expectedWork = expectedWork_[next->load];
                chargeWork(queue_, loads_[next->load].workspace, loads_[next->load].requestClass,
                           running.expectedWork);
            }
            running_.push_back(running);
            if (loads_[next->load].workspace == "light")
                lightWaitSeconds_.push_back(now_ - next->arrivedAt);
        }
    }

    std::optional<QueuedRequest> dequeueNext()
    {
        if (policy_ != Policy::FirstComeFirstServed && policy_ != Policy::RateLimited) {
            const auto item = dequeue(queue_);
            if (!item)
                return std::nullopt;
            const QueuedRequest request = queuedRequests_.at(item->id.number);
            queuedRequests_.erase(item->id.number);
            return request;
        }
        const auto found =
                std::find_if(fifo_.begin(), fifo_.end(), [this](const QueuedRequest &request) {
                    return policy_ == Policy::FirstComeFirstServed
                           || rateTokens_[request.load] >= 1;
                });
        if (found == fifo_.end())
            return std::nullopt;
        const QueuedRequest request = *found;
        rateTokens_[request.load] -= 1;
        fifo_.erase(found);
        return request;
    }

    // Compares the work of each flooding workspace with its fair share of the work of all of them,
    // and starts the next window.
    void closeWindow(bool isCounted)
    {
        double work = 0;
        double weight = 0;
        for (std::size_t i = 0; i < loads_.size(); ++i) {
            if (!loads_[i].workspace.starts_with("flood"))
                continue;
            work += windowWork_[i];
            weight += loads_[i].weight;
        }
        for (std::size_t i = 0; i < loads_.size(); ++i) {
            if (isCounted && work > 0 && loads_[i].workspace.starts_with("flood")) {
                const double share = windowWork_[i] / work;
                const double fair = loads_[i].weight / weight;
                result_.worstShareError =
                        std::max(result_.worstShareError, std::abs(share - fair) / fair);
            }
            windowWork_[i] = 0;
        }
    }

    Policy policy_;
    std::size_t slots_;
    std::vector<WorkspaceLoad> loads_;
    std::mt19937_64 rng_;
    double now_ = 0;
    std::uint64_t lastRequestNumber_ = 0;
    FairQueue queue_;
    std::map<std::uint64_t, QueuedRequest> queuedRequests_;
    std::deque<QueuedRequest> fifo_;
    std::vector<RunningRequest> running_;
    std::vector<double> windowWork_;
    std::vector<double> rateTokens_;

    // Average generation work of a request, by load.
    std::map<std::size_t, double> expectedWork_;

    std::vector<double> lightWaitSeconds_;
    Result result_;
};

} // namespace

int main()
{
    std::printf("| slots | policy | worst share error of a flood, 10 s | light p99 wait ms | idle "
                "slot-s while work waits |\n|---|---|---|---|---|\n");
    for (std::size_t slots : SlotCounts) {
        const Result lightAlone = Simulation(Policy::FairByWork, slots, true).run();
        std::printf("| %zu | the light workspace alone | - | %.0f | - |\n", slots,
                    lightAlone.lightP99Ms);
        for (Policy policy :
             {Policy::FairByWork, Policy::FairByExpectedWork, Policy::FairByRequests,
              Policy::FirstComeFirstServed, Policy::RateLimited}) {
            const Result r = Simulation(policy, slots, false).run();
            std::printf("| %zu | %s | %.1f %% | %.0f | %.1f |\n", slots,
                        PolicyNames[static_cast<std::size_t>(policy)], 100 * r.worstShareError,
                        r.lightP99Ms, r.idleSlotSeconds);
        }
    }
    return 0;
}
