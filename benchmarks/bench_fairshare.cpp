#include "libserving/fairqueue.h"
#include "libserving/serving.h"

#include <algorithm>
#include <cstdio>
#include <deque>
#include <queue>

// Shares and waits under floods, by the fair queue and by baselines, in virtual time over one pool
// of slots: ten workspaces, three of them flooding with long drafts, one light one with lookups.

using namespace Trefoil;

namespace {

constexpr std::size_t SlotCounts[] = {32, 256};
constexpr double LoadSlots = 32;       // that the loads below are written for
constexpr double TokensPerSecond = 40; // of one request
constexpr double RunSeconds = 120;
constexpr double WindowSeconds = 10;
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

struct Load
{
    WorkspaceId workspace;
    double weight;
    double perSecond;
    double promptTokens;
    double outputTokens;
    RequestClass requestClass;
};

// Three floods of different shapes, six moderate workspaces, one light one.
std::vector<Load> loads()
{
    std::vector<Load> all = {
            {"flood-a", 3, 40, 800, 400, RequestClass::Draft},
            {"flood-b", 2, 60, 100, 600, RequestClass::Lookup},
            {"flood-c", 1, 90, 1500, 60, RequestClass::Batch},
            {"light", 1, 0.5, 60, 8, RequestClass::Lookup},
    };
    for (int i = 0; i < 6; ++i)
        all.push_back({"mid-" + std::to_string(i), 1, 0.2, 300, 100, RequestClass::Draft});
    return all;
}

struct Pending
{
    std::size_t load = 0;
    double arrivedAt = 0;
    double outputTokens = 0;
};

struct Running
{
    std::size_t load = 0;
    double doneAt = 0;
    double expected = 0;  // work of generation charged at the start
    double generated = 0; // work of generation done
};

struct Result
{
    double worstShareError = 0; // of flooding workspaces, over any window, relative to their share
    double lightP99Ms = 0;
    double idleWhileWaiting = 0; // slot seconds
};

class Simulation
{
public:
    Simulation(Policy policy, std::size_t slots, bool alone)
        : policy_(policy)
        , slots_(slots)
        , loads_(loads())
        , rng_(7)
    {
        if (alone)
            std::erase_if(loads_, [](const Load &load) { return load.workspace != "light"; });
        for (Load &load : loads_)
            load.perSecond *= static_cast<double>(slots) / LoadSlots;
        for (const Load &load : loads_)
            setWorkspaceWeight(queue_, load.workspace, load.weight);
        queue_.options.maxQueued = SIZE_MAX;
        queue_.options.maxQueuedPerWorkspace = SIZE_MAX;
        windowWork_.resize(loads_.size());
        bucket_.resize(loads_.size(), 1);
    }

    Result run()
    {
        double nextWindow = WindowSeconds;
        for (now_ = 0; now_ < RunSeconds; now_ += TickSeconds) {
            arrive();
            finish();
            accrue();
            start();
            if (running_.size() < slots_ && waiting() > 0 && policy_ != Policy::RateLimited)
                result_.idleWhileWaiting +=
                        TickSeconds * static_cast<double>(slots_ - running_.size());
            if (now_ < nextWindow)
                continue;
            closeWindow(nextWindow > WindowSeconds);
            nextWindow += WindowSeconds;
        }
        std::sort(lightWaits_.begin(), lightWaits_.end());
        if (!lightWaits_.empty())
            result_.lightP99Ms = 1000 * lightWaits_[lightWaits_.size() * 99 / 100];
        return result_;
    }

private:
    void arrive()
    {
        for (std::size_t i = 0; i < loads_.size(); ++i) {
            std::poisson_distribution<int> count(loads_[i].perSecond * TickSeconds);
            for (int n = count(rng_); n > 0; --n)
                add(i);
        }
    }

    void add(std::size_t load)
    {
        std::exponential_distribution<double> length(1 / loads_[load].outputTokens);
        const Pending pending{load, now_, std::max(1.0, length(rng_))};
        if (policy_ == Policy::FirstComeFirstServed || policy_ == Policy::RateLimited) {
            line_.push_back(pending);
            return;
        }
        QueueItem item;
        item.id.number = ++number_;
        item.requestClass = loads_[load].requestClass;
        item.cost = policy_ == Policy::FairByRequests ? 1 : loads_[load].promptTokens;
        pending_[number_] = pending;
        enqueue(queue_, loads_[load].workspace, item);
    }

    std::size_t waiting() const { return line_.size() + queue_.queuedCount; }

    void finish()
    {
        std::erase_if(running_, [this](const Running &r) {
            if (r.doneAt > now_)
                return false;
            settle(r);
            return true;
        });
    }

    // Gives back what was charged but not done, and learns the usual length.
    void settle(const Running &running)
    {
        if (policy_ != Policy::FairByExpectedWork)
            return;
        const Load &load = loads_[running.load];
        if (running.generated < running.expected)
            chargeWork(queue_, load.workspace, load.requestClass,
                       running.generated - running.expected);
        double &mean = expected_[running.load];
        mean += ExpectationSmoothing * (running.generated - mean);
    }

    // Work of the running requests in this tick, charged as it accrues.
    void accrue()
    {
        for (Running &running : running_) {
            const double work = TokensPerSecond * TickSeconds * GeneratedTokenCost;
            windowWork_[running.load] += work;
            running.generated += work;
            const bool beyond =
                    policy_ == Policy::FairByExpectedWork && running.generated > running.expected;
            if (policy_ == Policy::FairByWork || beyond)
                chargeWork(queue_, loads_[running.load].workspace,
                           loads_[running.load].requestClass, work);
        }
        for (double &tokens : bucket_)
            tokens = std::min(4.0, tokens + limitPerSecond() * TickSeconds);
    }

    // The pool's requests a second, split evenly.
    double limitPerSecond() const
    {
        return static_cast<double>(slots_) * TokensPerSecond / 300
               / static_cast<double>(loads_.size());
    }

    void start()
    {
        while (running_.size() < slots_) {
            const auto next = take();
            if (!next)
                return;
            windowWork_[next->load] += loads_[next->load].promptTokens;
            Running running{next->load, now_ + next->outputTokens / TokensPerSecond, 0, 0};
            if (policy_ == Policy::FairByExpectedWork) {
                running.expected = expected_[next->load];
                chargeWork(queue_, loads_[next->load].workspace, loads_[next->load].requestClass,
                           running.expected);
            }
            running_.push_back(running);
            if (loads_[next->load].workspace == "light")
                lightWaits_.push_back(now_ - next->arrivedAt);
        }
    }

    std::optional<Pending> take()
    {
        if (policy_ != Policy::FirstComeFirstServed && policy_ != Policy::RateLimited) {
            const auto item = dequeue(queue_);
            if (!item)
                return std::nullopt;
            const Pending pending = pending_.at(item->id.number);
            pending_.erase(item->id.number);
            return pending;
        }
        const auto found = std::find_if(line_.begin(), line_.end(), [this](const Pending &p) {
            return policy_ == Policy::FirstComeFirstServed || bucket_[p.load] >= 1;
        });
        if (found == line_.end())
            return std::nullopt;
        const Pending pending = *found;
        bucket_[pending.load] -= 1;
        line_.erase(found);
        return pending;
    }

    // Compares the floods' work with their shares of what the floods got together.
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
    std::vector<Load> loads_;
    std::mt19937_64 rng_;
    double now_ = 0;
    std::uint64_t number_ = 0;
    FairQueue queue_;
    std::map<std::uint64_t, Pending> pending_;
    std::deque<Pending> line_;
    std::vector<Running> running_;
    std::vector<double> windowWork_;
    std::vector<double> bucket_;
    std::map<std::size_t, double> expected_; // work of generation, by load
    std::vector<double> lightWaits_;
    Result result_;
};

} // namespace

int main()
{
    std::printf("| slots | policy | worst share error of a flood, 10 s | light p99 wait ms | idle "
                "slot-s while work waits |\n|---|---|---|---|---|\n");
    for (std::size_t slots : SlotCounts) {
        const Result alone = Simulation(Policy::FairByWork, slots, true).run();
        std::printf("| %zu | the light workspace alone | - | %.0f | - |\n", slots,
                    alone.lightP99Ms);
        for (Policy policy :
             {Policy::FairByWork, Policy::FairByExpectedWork, Policy::FairByRequests,
              Policy::FirstComeFirstServed, Policy::RateLimited}) {
            const Result r = Simulation(policy, slots, false).run();
            std::printf("| %zu | %s | %.1f %% | %.0f | %.1f |\n", slots,
                        PolicyNames[static_cast<std::size_t>(policy)], 100 * r.worstShareError,
                        r.lightP99Ms, r.idleWhileWaiting);
        }
    }
    return 0;
}
