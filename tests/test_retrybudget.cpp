#define BOOST_TEST_MODULE retrybudget

#include "libfleet/fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>
#include <vector>

// Retries of all entries together, counted from outside as endpoints and callers see them.

namespace Trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr Duration Window = seconds(10);
constexpr milliseconds StepTime{20};
constexpr double Ratio = 0.2;
constexpr double Allowance = 136;

WindowedRetryBudget makeBudget()
{
    WindowedRetryBudget budget;
    budget.options.retriesPerRequest = Ratio;
    budget.options.allowance = Allowance;
    budget.options.window = Window;
    return budget;
}

// Entries whose callers would use every retry. Requests reach an entry at random; those to an entry
// that is down are sent all the same.
class RetryFleet
{
public:
    RetryFleet(std::size_t count, std::uint64_t seed)
        : rng_(seed)
        , entries_(count)
    {
        for (Entry &entry : entries_)
            entry.budget = makeBudget();
        linkAll();
    }

    // Names of all entries reach each entry that is not cut off.
    void linkAll()
    {
        for (Entry &entry : entries_) {
            if (!entry.isCutOff)
                learnEntries(entry);
        }
    }

    void restart(std::size_t index, Duration downTime)
    {
        entries_[index].budget = makeBudget();
        entries_[index].roster = {};
        entries_[index].upAt = now + downTime;
    }

    void cutOff(std::size_t index, bool isCutOff) { entries_[index].isCutOff = isCutOff; }

    // Sends requests at a rate per second for the duration and takes all retries that are granted,
    // if `hasDemand`.
    void run(Duration duration, double requestsPerSecond, bool hasDemand)
    {
        const TimePoint until = now + duration;
        while (now < until) {
            now += StepTime;
            Step step{now, 0, 0};
            std::poisson_distribution<int> count(requestsPerSecond
                                                 * std::chrono::duration<double>(StepTime).count());
            for (int i = count(rng_); i > 0; --i) {
                ++step.requests;
                Entry &entry = entries_[rng_() % entries_.size()];
                if (entry.upAt <= now)
                    recordRequest(entry.budget, entryCount(entry.roster), now);
            }
            for (Entry &entry : entries_) {
                if (entry.upAt > now)
                    continue;
                if (!entry.isCutOff)
                    learnEntries(entry);
                while (hasDemand && tryTakeRetry(entry.budget, entryCount(entry.roster), now))
                    ++step.retries;
            }
            steps_.push_back(step);
        }
    }

    // Returns the largest number of retries in a window beyond what is allowed for it. The requests
    // are those of the window, of the window before it or of the one half a window before it,
    // whichever are most.
    double worstExcess() const
    {
        double worst = -Allowance;
        for (std::size_t first = 0; first < steps_.size(); ++first) {
            const TimePoint from = steps_[first].at;
            const double requests =
                    std::max({sum(&Step::requests, from), sum(&Step::requests, from - Window / 2),
                              sum(&Step::requests, from - Window)});
            worst = std::max(worst, sum(&Step::retries, from) - Ratio * requests - Allowance);
        }
        return worst;
    }

    double retryCount() const
    {
        double total = 0;
        for (const Step &step : steps_)
            total += step.retries;
        return total;
    }

    TimePoint now = Start;

private:
    struct Entry
    {
        WindowedRetryBudget budget;
        EntryRoster roster;
        TimePoint upAt = Start;
        bool isCutOff = false;
    };
    struct Step
    {
        TimePoint at;
        double requests;
        double retries;
    };

    void learnEntries(Entry &entry)
    {
        for (std::size_t i = 0; i < entries_.size(); ++i)
            recordEntry(entry.roster, std::to_string(i), now);
    }

    double sum(double Step::*field, TimePoint from) const
    {
        double total = 0;
        const auto first =
                std::lower_bound(steps_.begin(), steps_.end(), from,
                                 [](const Step &step, TimePoint at) { return step.at < at; });
        for (auto step = first; step != steps_.end() && step->at < from + Window; ++step)
            total += (*step).*field;
        return total;
    }

    std::mt19937_64 rng_;
    std::vector<Entry> entries_;
    std::vector<Step> steps_;
};

} // namespace

BOOST_AUTO_TEST_CASE(restarted_entries_take_the_allowance_again)
{
    RetryFleet fleet(9, 1);
    fleet.run(seconds(12), 200, false);
    fleet.run(seconds(2), 300, true);
    for (int restarts = 0; restarts < 6; ++restarts) {
        for (std::size_t i = 0; i < 8; ++i)
            fleet.restart(i, milliseconds(500));
        fleet.run(milliseconds(2500), 300, true);
    }
    BOOST_CHECK_LE(fleet.worstExcess(), 0);
}

BOOST_AUTO_TEST_CASE(entries_that_are_cut_off_take_the_whole_allowance)
{
    RetryFleet fleet(9, 1);
    fleet.run(seconds(12), 200, false);
    for (std::size_t i = 0; i < 9; ++i)
        fleet.cutOff(i, true);
    fleet.run(seconds(15), 200, true);
    for (std::size_t i = 0; i < 9; ++i)
        fleet.restart(i, Duration::zero());
    fleet.run(seconds(15), 200, true);
    BOOST_CHECK_LE(fleet.worstExcess(), 0);
}

BOOST_AUTO_TEST_CASE(bursts_of_retries_at_both_ends_of_a_window_exceed_the_budget)
{
    RetryFleet fleet(9, 1);
    fleet.run(milliseconds(20800), 200, false);
    fleet.run(milliseconds(100), 200, true);
    fleet.run(milliseconds(9100), 200, false);
    fleet.run(milliseconds(100), 200, true);
    BOOST_CHECK_LE(fleet.worstExcess(), 0);
}

// Restarts, cuts and bursts at random moments, also with entries that serve almost all requests.
BOOST_AUTO_TEST_CASE(random_disturbances_exceed_the_budget)
{
    const bool holds = rc::check("random fleets", [](std::uint64_t seed) {
        std::mt19937_64 rng(seed);
        const std::size_t count = 2 + rng() % 12;
        RetryFleet fleet(count, seed);
        fleet.run(seconds(rng() % 12), 100, rng() % 2 == 0);
        for (int phase = 0; phase < 12; ++phase) {
            for (std::size_t i = 0; i < count; ++i) {
                if (rng() % 3 == 0)
                    fleet.restart(i, milliseconds(rng() % 1000));
                fleet.cutOff(i, rng() % 4 == 0);
            }
            fleet.run(milliseconds(200 + rng() % 4000), static_cast<double>(rng() % 400),
                      rng() % 4 != 0);
        }
        RC_ASSERT(fleet.worstExcess() <= 0);
    });
    BOOST_CHECK(holds);
}

// A fleet without disturbances can use most of its budget, all the time and at once.
BOOST_AUTO_TEST_CASE(a_calm_fleet_leaves_its_budget_unused)
{
    RetryFleet steady(9, 1);
    steady.run(seconds(100), 200, true);
    BOOST_CHECK_GE(steady.retryCount(), 0.6 * Ratio * 200 * 100);
    RetryFleet sudden(9, 1);
    sudden.run(seconds(15), 200, false);
    sudden.run(milliseconds(100), 200, true);
    BOOST_CHECK_GE(sudden.retryCount(), 0.8 * Allowance);
}

} // namespace Trefoil
