#define BOOST_TEST_MODULE endpointlimits

#include "libfleet/fleet.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

// Requests of all entries together at endpoints that name a limit, counted as the endpoints see
// them.

namespace Trefoil {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start = TimePoint(std::chrono::hours(1));
constexpr milliseconds StepTime{10};
constexpr Duration Window = seconds(4);
constexpr Duration DigestInterval = milliseconds(100);

Endpoint makeEndpoint(const EndpointId &id, std::uint64_t startedAtMs = 1)
{
    Endpoint endpoint;
    endpoint.report.id = id;
    endpoint.report.service = "s";
    endpoint.report.startedAtMs = startedAtMs;
    endpoint.lastHeard = Start;
    return endpoint;
}

// Entries that send a request whenever they may, endpoints that name limits in their answers, and
// digests between the entries that may be lost or late.
class LimitFleet
{
public:
    LimitFleet(std::size_t entries, std::size_t endpoints, std::uint64_t seed)
        : entries_(entries)
        , rng_(seed)
    {
        for (std::size_t i = 0; i < endpoints; ++i) {
            const EndpointId id = "e" + std::to_string(i);
            endpoints_.push_back({id, {}, {}});
            table_.endpoints[id] = makeEndpoint(id);
        }
        for (std::size_t i = 0; i < entries; ++i)
            startEntry(i, now - seconds(60));
    }

    void nameLimit(std::optional<double> perSecond)
    {
        for (Server &server : endpoints_)
            server.limits.push_back({now, perSecond});
    }

    void restart(std::size_t entry) { startEntry(entry, now); }

    // Entries of different groups get no digests of each other.
    void setGroup(std::size_t entry, std::size_t group) { entries_[entry].group = group; }

    // Fraction of digests that are lost.
    double lossRate = 0;

    // Largest time between an arrival at an endpoint and the answer at the entry.
    milliseconds answerTime{300};

    // Sends requests as fast as the entries may. Only entries below `activeEntries` have requests,
    // and at most `attemptsPerStep` each in a step.
    void run(Duration duration, std::size_t activeEntries = ~std::size_t{0},
             int attemptsPerStep = 20)
    {
        const TimePoint until = now + duration;
        while (now < until) {
            now += StepTime;
            receiveAnswers();
            receiveDigests();
            for (std::size_t i = 0; i < std::min(activeEntries, entries_.size()); ++i) {
                for (int attempt = 0; attempt < attemptsPerStep; ++attempt)
                    sendRequest(i);
            }
            sendDigests();
        }
    }

    // Returns the largest number of requests that an endpoint got in a window beyond what its limit
    // allows. Counted are entries that know the limit for half a second.
    double worstExcess(TimePoint from) const
    {
        double worst = -1000;
        for (const Server &server : endpoints_) {
            for (std::size_t first = 0; first < server.arrivals.size(); ++first) {
                const TimePoint begin = server.arrivals[first];
                if (begin < from)
                    continue;
                const auto last = std::lower_bound(server.arrivals.begin(), server.arrivals.end(),
                                                   begin + Window);
                const auto count = static_cast<double>(last - server.arrivals.begin())
                                   - static_cast<double>(first);
                worst = std::max(worst, count - 1.5 * allowed(server, begin) - 5);
            }
        }
        return worst;
    }

    double arrivalCount(TimePoint from) const
    {
        double count = 0;
        for (const Server &server : endpoints_)
            count += static_cast<double>(
                    std::count_if(server.arrivals.begin(), server.arrivals.end(),
                                  [from](TimePoint at) { return at >= from; }));
        return count;
    }

    TimePoint now = Start;

private:
    struct Entry
    {
        EndpointLimits limits;
        std::map<EndpointId, TimePoint> knownSince;
        std::map<std::size_t, std::vector<EndpointHash>> needs;
        std::size_t group = 0;
        TimePoint nextDigestAt{};
    };
    struct Server
    {
        EndpointId id;
        std::vector<std::pair<TimePoint, std::optional<double>>> limits;
        std::vector<TimePoint> arrivals;
    };
    struct Answer
    {
        TimePoint at;
        std::size_t entry;
        LimitStatement statement;
    };
    struct Digest
    {
        TimePoint at;
        std::size_t from;
        std::size_t to;
        std::vector<LimitReport> reports;
        std::vector<EndpointHash> needs;
        std::vector<LimitGrant> grants;
    };

    static std::string nameOf(std::size_t entry) { return "entry-" + std::to_string(entry); }

    void startEntry(std::size_t index, TimePoint startedAt)
    {
        Entry entry;
        entry.group = entries_[index].group;
        entry.limits.entryName = nameOf(index);
        entry.limits.startedAt = startedAt;
        EntryRoster roster;
        for (std::size_t i = 0; i < entries_.size(); ++i)
            recordEntry(roster, nameOf(i), now);
        setEntries(entry.limits, roster);
        entry.nextDigestAt = now + milliseconds(rng_() % 100);
        entries_[index] = entry;
        std::erase_if(answers_, [index](const Answer &answer) { return answer.entry == index; });
    }

    static std::optional<double> limitAt(const Server &server, TimePoint at)
    {
        std::optional<double> limit;
        for (const auto &[from, perSecond] : server.limits) {
            if (from <= at)
                limit = perSecond;
        }
        return limit;
    }

    // Returns the requests that the limit allows in the window. A lower limit counts from the time
    // at which the entries can know it, a higher one at once.
    static double allowed(const Server &server, TimePoint begin)
    {
        double sum = 0;
        for (TimePoint at = begin; at < begin + Window; at += StepTime)
            sum += std::max(limitAt(server, at - milliseconds(500)).value_or(1000),
                            limitAt(server, at).value_or(1000))
                   * std::chrono::duration<double>(StepTime).count();
        return sum;
    }

    void sendRequest(std::size_t index)
    {
        Entry &entry = entries_[index];
        Server &server = endpoints_[rng_() % endpoints_.size()];
        const Endpoint &endpoint = table_.endpoints.at(server.id);
        const EndpointLimit *limit = findLimit(entry.limits, endpoint);
        // Without limits, the endpoints get a request at each step from all entries together.
        if (!limit && rng_() % (entries_.size() * 20) != 0)
            return;
        if (limit && timeUntilToken(entry.limits, *limit, now) > Duration::zero()) {
            recordNeed(entry.limits, server.id, now);
            return;
        }
        takeToken(entry.limits, endpoint, now);
        const auto known = entry.knownSince.find(server.id);
        const bool isCounted =
                known != entry.knownSince.end() && now - known->second >= milliseconds(500);
        if (isCounted)
            server.arrivals.push_back(now);
        const auto delay =
                milliseconds(20 + rng_() % static_cast<std::uint64_t>(answerTime.count()));
        answers_.push_back({now + delay, index, {server.id, 1, limitAt(server, now), now}});
    }

    void receiveAnswers()
    {
        for (const Answer &answer : answers_) {
            if (answer.at > now)
                continue;
            Entry &entry = entries_[answer.entry];
            recordStatement(entry.limits, answer.statement, now);
            if (answer.statement.perSecond)
                entry.knownSince.try_emplace(answer.statement.endpoint, now);
        }
        std::erase_if(answers_, [this](const Answer &answer) { return answer.at <= now; });
    }

    void receiveDigests()
    {
        for (const Digest &digest : digests_) {
            if (digest.at > now)
                continue;
            Entry &entry = entries_[digest.to];
            for (const LimitReport &report : digest.reports) {
                const auto change = applyLimitReport(entry.limits, report, table_, now);
                if (change && report.perSecond)
                    entry.knownSince.try_emplace(change->endpoint, now);
            }
            entry.needs[digest.from] = digest.needs;
            for (const LimitGrant &grant : digest.grants)
                applyGrant(entry.limits, grant, now);
        }
        std::erase_if(digests_, [this](const Digest &digest) { return digest.at <= now; });
    }

    void sendDigests()
    {
        for (std::size_t from = 0; from < entries_.size(); ++from) {
            Entry &entry = entries_[from];
            if (now < entry.nextDigestAt)
                continue;
            entry.nextDigestAt = now + DigestInterval;
            Digest digest;
            digest.from = from;
            digest.reports = takeLimitReports(entry.limits, now);
            digest.needs = neededEndpoints(entry.limits, now);
            std::vector<std::string> names;
            for (const auto &[peer, endpoints] : entry.needs)
                names.push_back(nameOf(peer));
            std::vector<LimitNeed> needs;
            for (const auto &[peer, endpoints] : entry.needs)
                needs.push_back({names[needs.size()], endpoints});
            digest.grants = takeGrants(entry.limits, needs, rng_, now);
            for (std::size_t to = 0; to < entries_.size(); ++to) {
                const bool isLost = std::uniform_real_distribution<double>(0, 1)(rng_) < lossRate;
                if (to == from || isLost || entries_[to].group != entry.group)
                    continue;
                digest.to = to;
                digest.at = now + milliseconds(1 + rng_() % 20);
                digests_.push_back(digest);
            }
        }
    }

    std::vector<Entry> entries_;
    std::mt19937_64 rng_;
    std::vector<Server> endpoints_;
    EndpointTable table_;
    std::vector<Answer> answers_;
    std::vector<Digest> digests_;
};

} // namespace

BOOST_AUTO_TEST_CASE(each_entry_sends_up_to_the_whole_limit)
{
    LimitFleet fleet(9, 2, 1);
    fleet.run(seconds(2));
    fleet.nameLimit(4);
    const TimePoint named = fleet.now;
    fleet.run(seconds(20));
    BOOST_CHECK_LE(fleet.worstExcess(named + seconds(3)), 0);
}

BOOST_AUTO_TEST_CASE(many_entries_send_at_the_same_time_after_a_pause)
{
    LimitFleet fleet(83, 2, 1);
    fleet.run(seconds(2));
    fleet.nameLimit(4);
    const TimePoint named = fleet.now;
    fleet.run(seconds(4));
    for (const seconds pause : {seconds(6), seconds(12), seconds(60)}) {
        fleet.run(pause, 0);
        fleet.run(seconds(10));
    }
    BOOST_CHECK_LE(fleet.worstExcess(named + seconds(3)), 0);
}

BOOST_AUTO_TEST_CASE(restarted_entries_use_their_share_again)
{
    LimitFleet fleet(9, 2, 1);
    fleet.run(seconds(2));
    fleet.nameLimit(4);
    const TimePoint named = fleet.now;
    fleet.run(seconds(4));
    for (int round = 0; round < 12; ++round) {
        for (std::size_t i = 0; i < 9; ++i)
            fleet.restart(i);
        fleet.run(milliseconds(900));
    }
    BOOST_CHECK_LE(fleet.worstExcess(named + seconds(3)), 0);
}

BOOST_AUTO_TEST_CASE(a_limit_that_falls_is_exceeded)
{
    LimitFleet fleet(9, 2, 1);
    fleet.nameLimit(12);
    fleet.run(seconds(8));
    const TimePoint named = fleet.now;
    for (const double limit : {6.0, 3.0, 1.0, 0.0}) {
        fleet.nameLimit(limit);
        fleet.run(seconds(6));
    }
    BOOST_CHECK_LE(fleet.worstExcess(named), 0);
}

// Restarts, cuts, losses and changes of the limit at random moments.
BOOST_AUTO_TEST_CASE(random_disturbances_exceed_a_limit)
{
    const bool holds = rc::check("random fleets", [](std::uint64_t seed) {
        std::mt19937_64 rng(seed);
        const std::size_t count = 2 + rng() % 30;
        LimitFleet fleet(count, 1 + rng() % 3, seed);
        fleet.lossRate = static_cast<double>(rng() % 4) * 0.1;
        const double limit = 0.5 + static_cast<double>(rng() % 100) / 10;
        fleet.run(seconds(1));
        fleet.nameLimit(limit);
        const TimePoint named = fleet.now;
        for (int phase = 0; phase < 10; ++phase) {
            for (std::size_t i = 0; i < count; ++i) {
                if (rng() % 4 == 0)
                    fleet.restart(i);
                fleet.setGroup(i, rng() % 3 == 0 ? rng() % 3 : 0);
            }
            const bool isIdle = rng() % 5 == 0;
            fleet.run(milliseconds(200 + rng() % 3000), isIdle ? 0 : 1 + rng() % count);
        }
        RC_ASSERT(fleet.worstExcess(named + seconds(3)) <= 0);
    });
    BOOST_CHECK(holds);
}

BOOST_AUTO_TEST_CASE(a_calm_fleet_leaves_a_limit_unused)
{
    LimitFleet fleet(9, 2, 1);
    fleet.nameLimit(5);
    fleet.run(seconds(10));
    const TimePoint from = fleet.now;
    fleet.run(seconds(20));
    BOOST_CHECK_GE(fleet.arrivalCount(from), 0.85 * 2 * 5 * 20);
}

BOOST_AUTO_TEST_CASE(an_entry_with_all_the_requests_gets_no_more_than_its_part)
{
    LimitFleet fleet(9, 1, 1);
    fleet.nameLimit(5);
    fleet.run(seconds(5));
    const TimePoint from = fleet.now;
    fleet.run(seconds(20), 1);
    BOOST_CHECK_GE(fleet.arrivalCount(from), 0.7 * 5 * 20);
}

// The entries that hold a limit are gone for long, those that remain never may use it.
BOOST_AUTO_TEST_CASE(a_limit_is_lost_with_its_holders)
{
    LimitFleet fleet(20, 3, 1);
    fleet.nameLimit(4);
    fleet.run(seconds(5));
    const TimePoint from = fleet.now;
    fleet.run(seconds(60), 4);
    BOOST_CHECK_GE(fleet.arrivalCount(from), 60);
    BOOST_CHECK_LE(fleet.worstExcess(from), 0);
}

BOOST_AUTO_TEST_CASE(a_limit_outlives_its_end_or_its_incarnation)
{
    EndpointLimits limits;
    EndpointTable table;
    table.endpoints["e"] = makeEndpoint("e");
    const auto perSecond = [&] {
        const EndpointLimit *limit = findLimit(limits, table.endpoints.at("e"));
        return limit ? limit->perSecond : std::nullopt;
    };
    BOOST_CHECK(recordStatement(limits, {"e", 1, 5.0, Start}, Start + seconds(1)));
    BOOST_CHECK_EQUAL(perSecond().value(), 5);
    // An answer to an earlier request was overtaken.
    BOOST_CHECK(!recordStatement(limits, {"e", 1, {}, Start}, Start + seconds(2)));
    BOOST_CHECK(perSecond());
    BOOST_CHECK(recordStatement(limits, {"e", 1, {}, Start + seconds(2)}, Start + seconds(3)));
    BOOST_CHECK(!perSecond());
    // A late report of another entry does not restore the limit, a newer one does.
    const LimitReport report{endpointHash("e"), 1, 5.0, 500};
    BOOST_CHECK(!applyLimitReport(limits, report, table, Start + seconds(3)));
    BOOST_CHECK(applyLimitReport(limits, report, table, Start + seconds(4)));
    BOOST_CHECK(perSecond());
    table.endpoints["e"] = makeEndpoint("e", 2);
    BOOST_CHECK(!perSecond());
    BOOST_CHECK(!applyLimitReport(limits, {report.endpoint, 1, 4.0, 0}, table, Start + seconds(5))
                || !perSecond());
    removeUnknownLimits(limits, table, Start + seconds(5));
    BOOST_CHECK(limits.byEndpoint.empty());
}

// Without an answer, the end of a limit can only be noticed by a request.
BOOST_AUTO_TEST_CASE(an_endpoint_that_takes_nothing_is_never_tried_again)
{
    LimitFleet fleet(9, 1, 1);
    fleet.nameLimit(0);
    fleet.run(seconds(10));
    const TimePoint from = fleet.now;
    fleet.run(seconds(20));
    BOOST_CHECK_GE(fleet.arrivalCount(from), 3);
    BOOST_CHECK_LE(fleet.arrivalCount(from), 15);
    fleet.nameLimit(std::nullopt);
    fleet.run(seconds(15));
    const TimePoint ended = fleet.now;
    fleet.run(seconds(1));
    BOOST_CHECK_GE(fleet.arrivalCount(ended), 20);
}

} // namespace Trefoil
