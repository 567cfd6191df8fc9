#include "libserving/query.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <iterator>
#include <map>

namespace Trefoil {

namespace {

using enum ColumnMerge;

constexpr ColumnSpec GroupColumns[] = {
        {"group", Key, "number of the group"},
        {"deployment", Key, "deployment that it serves"},
        {"state", Key, "gate of the group: open, loading, vm-missing, ..."},
        {"version", Key, "version of the model"},
        {"fabric", Key, "fabric domain of its VMs"},
        {"domain", Key, "failure domain of its VMs"},
        {"dispatcher", Key, "entry that starts its requests"},
        {"vms", Key, "its VMs"},
        {"running", Sum, "requests running on it"},
        {"slots", Sum, "requests that it can run at the same time"},
};

constexpr ColumnSpec VmColumns[] = {
        {"vm", Key, "name of the VM"},
        {"role", Key, "engine or service"},
        {"service", Key, "plain service that it runs"},
        {"state", Key, "idle, loading, ready, or silent without recent heartbeats"},
        {"status", Key, "active, draining, lost or left"},
        {"group", Key, "group that holds it, 0 for none"},
        {"domain", Key, "failure domain"},
        {"fabric", Key, "fabric domain"},
        {"accelerators", Sum, "accelerators of the VM"},
};

constexpr ColumnSpec WorkspaceColumns[] = {
        {"workspace", Key, "name of the workspace"},
        {"weight", Max, "its weight"},
        {"work", Sum, "work done for it, in prompt-token equivalents"},
        {"queued", Sum, "requests waiting"},
        {"done", Sum, "requests that ended with their whole answer"},
        {"notrun", Sum, "requests refused before they ran"},
        {"unknown", Sum, "requests whose fate is unknown"},
        {"failed", Sum, "requests that an endpoint failed"},
        {"wait", Histogram, "time from arrival to the first byte"},
};

constexpr ColumnSpec DeploymentColumns[] = {
        {"deployment", Key, "name of the deployment"},
        {"model", Key, "model that it serves"},
        {"version", Key, "version of the model"},
        {"placement", Key, "placement policy"},
        {"wanted", Sum, "groups wanted"},
        {"groups", Sum, "groups formed"},
        {"vms", Sum, "VMs of each group"},
};

constexpr ColumnSpec EntryColumns[] = {
        {"entry", Key, "name of the entry"},
        {"status", Key, "alive, suspect, dead or left"},
        {"domain", Key, "failure domain"},
        {"address", Key, "address for callers"},
        {"draining", Key, "yes while it takes no new work"},
        {"version", Max, "configuration version that it applied"},
};

constexpr ColumnSpec SeatColumns[] = {
        {"seat", Key, "number of the seat"},
        {"entry", Key, "entry that holds it"},
        {"voter", Key, "no while it catches up"},
        {"role", Key, "leader or follower, as the asked entry knows"},
};

constexpr ColumnSpec VersionColumns[] = {
        {"entry", Key, "name of the entry"},
        {"version", Max, "configuration version that it applied"},
        {"age", Max, "age of its last confirmation, in ms"},
};

constexpr ColumnSpec DowntimeColumns[] = {
        {"deployment", Key, "name of the deployment"},
        {"down", Sum, "group-minutes below the wanted number since the leader started"},
        {"stranded", Sum, "accelerator-minutes present outside a serving group"},
};

constexpr TableSpec Tables[] = {
        {"groups", true, GroupColumns, "serving groups and their gates"},
        {"vms", true, VmColumns, "VMs that announced themselves"},
        {"workspaces", true, WorkspaceColumns, "workspaces, their work and outcomes"},
        {"deployments", false, DeploymentColumns, "deployments and their groups"},
        {"entries", false, EntryColumns, "entries as the asked one sees them"},
        {"seats", false, SeatColumns, "seats of the replicated log"},
        {"versions", true, VersionColumns, "configuration version in force on each entry"},
        {"downtime", true, DowntimeColumns, "group downtime and stranded accelerators"},
};

std::optional<double> asNumber(const Cell &cell)
{
    if (const auto *integer = std::get_if<std::int64_t>(&cell))
        return static_cast<double>(*integer);
    if (const auto *real = std::get_if<double>(&cell))
        return *real;
    return std::nullopt;
}

// Compares two cells as numbers when both are numbers, and by their text otherwise.
int compareCells(const Cell &a, const Cell &b)
{
    const auto x = asNumber(a);
    const auto y = asNumber(b);
    if (x && y)
        return *x < *y ? -1 : (*x > *y ? 1 : 0);
    return toText(a).compare(toText(b));
}

bool matchesCondition(const Condition &condition, const Row &row)
{
    const int order = compareCells(row[condition.column], condition.value);
    switch (condition.comparison) {
    case Comparison::Equal:
        return order == 0;
    case Comparison::NotEqual:
        return order != 0;
    case Comparison::Less:
        return order < 0;
    case Comparison::LessEqual:
        return order <= 0;
    case Comparison::Greater:
        return order > 0;
    case Comparison::GreaterEqual:
        return order >= 0;
    }
    return false;
}

// Adds a number or a histogram to a cell.
void addCell(Cell &into, const Cell &cell)
{
    if (auto *histogram = std::get_if<DurationHistogram>(&into)) {
        const auto *other = std::get_if<DurationHistogram>(&cell);
        if (!other)
            return;
        histogram->counts.resize(std::max(histogram->counts.size(), other->counts.size()));
        for (std::size_t i = 0; i < other->counts.size(); ++i)
            histogram->counts[i] += other->counts[i];
        return;
    }
    const auto *a = std::get_if<std::int64_t>(&into);
    const auto *b = std::get_if<std::int64_t>(&cell);
    if (a && b) {
        into = *a + *b;
        return;
    }
    into = asNumber(into).value_or(0) + asNumber(cell).value_or(0);
}

void mergeRow(const TableSpec &table, Row &into, const Row &row)
{
    for (std::size_t i = 0; i < table.columns.size(); ++i) {
        switch (table.columns[i].merge) {
        case Key:
            break;
        case Sum:
        case Histogram:
            addCell(into[i], row[i]);
            break;
        case Max:
            if (compareCells(row[i], into[i]) > 0)
                into[i] = row[i];
            break;
        }
    }
}

bool isKeyKept(const ShowQuery &query, std::size_t column)
{
    return query.groupBy.empty()
           || std::find(query.groupBy.begin(), query.groupBy.end(), column) != query.groupBy.end();
}

// Clears the key cells that the query aggregates over.
Row clearAggregatedKeys(const TableSpec &table, const ShowQuery &query, Row row)
{
    for (std::size_t i = 0; i < table.columns.size(); ++i) {
        if (table.columns[i].merge == Key && !isKeyKept(query, i))
            row[i] = std::string();
    }
    return row;
}

// Returns the texts of a row's key cells, joined by the unit separator character.
std::string makeRowKey(const TableSpec &table, const Row &row)
{
    std::string key;
    for (std::size_t i = 0; i < table.columns.size(); ++i) {
        if (table.columns[i].merge == Key)
            key += toText(row[i]) + '\x1f';
    }
    return key;
}

// Merges the rows that have equal keys after clearing the keys that the query aggregates over.
std::vector<Row> aggregate(const TableSpec &table, const ShowQuery &query, std::vector<Row> rows)
{
    std::vector<Row> result;
    std::map<std::string, std::size_t> byKey;
    for (Row &row : rows) {
        Row reduced = clearAggregatedKeys(table, query, std::move(row));
        const auto [found, added] = byKey.emplace(makeRowKey(table, reduced), result.size());
        if (added)
            result.push_back(std::move(reduced));
        else
            mergeRow(table, result[found->second], reduced);
    }
    return result;
}

} // namespace

double bucketUpperMs(std::size_t bucket)
{
    return FirstBucketMs * std::exp2(static_cast<double>(bucket) / BucketsPerDoubling);
}

double quantileMs(const DurationHistogram &histogram, double quantile)
{
    std::uint64_t total = 0;
    for (std::uint64_t count : histogram.counts)
        total += count;
    if (total == 0)
        return 0;
    const auto targetCount = static_cast<std::uint64_t>(
            std::max(1.0, std::ceil(quantile * static_cast<double>(total))));
    std::uint64_t cumulativeCount = 0;
    for (std::size_t i = 0; i < histogram.counts.size(); ++i) {
        cumulativeCount += histogram.counts[i];
        if (cumulativeCount >= targetCount)
            return bucketUpperMs(i);
    }
    return bucketUpperMs(DurationBuckets - 1);
}

std::span<const TableSpec> tableSpecs()
{
    return Tables;
}

const TableSpec *findTable(std::string_view name)
{
    const auto *found = std::find_if(std::begin(Tables), std::end(Tables),
                                     [name](const TableSpec &t) { return t.name == name; });
    return found == std::end(Tables) ? nullptr : found;
}

std::optional<std::size_t> findColumn(const TableSpec &table, std::string_view column)
{
    for (std::size_t i = 0; i < table.columns.size(); ++i) {
        if (table.columns[i].name == column)
            return i;
    }
    return std::nullopt;
}

std::vector<Row> evaluateQuery(const ShowQuery &query, std::span<const Row> rows)
{
    const TableSpec *table = findTable(query.table);
    if (!table)
        return {};
    std::vector<Row> kept;
    for (const Row &row : rows) {
        const bool matchesAll =
                std::all_of(query.where.begin(), query.where.end(),
                            [&row](const Condition &c) { return matchesCondition(c, row); });
        if (matchesAll)
            kept.push_back(row);
    }
    return aggregate(*table, query, std::move(kept));
}

std::vector<Row> mergePartials(const ShowQuery &query, std::vector<Row> rows)
{
    const TableSpec *table = findTable(query.table);
    if (!table)
        return {};
    std::vector<Row> merged = aggregate(*table, query, std::move(rows));
    std::sort(merged.begin(), merged.end(), [table](const Row &a, const Row &b) {
        for (std::size_t i = 0; i < table->columns.size(); ++i) {
            if (table->columns[i].merge != Key)
                continue;
            const int order = compareCells(a[i], b[i]);
            if (order != 0)
                return order < 0;
        }
        return false;
    });
    if (query.limit > 0 && merged.size() > query.limit)
        merged.resize(query.limit);
    return merged;
}

std::string toText(const Cell &cell)
{
    if (const auto *integer = std::get_if<std::int64_t>(&cell))
        return std::to_string(*integer);
    if (const auto *text = std::get_if<std::string>(&cell))
        return *text;
    char buffer[64];
    if (const auto *real = std::get_if<double>(&cell)) {
        std::snprintf(buffer, sizeof(buffer), "%.6g", *real);
        return buffer;
    }
    const auto &histogram = std::get<DurationHistogram>(cell);
    std::snprintf(buffer, sizeof(buffer), "p50 %.3g ms, p99 %.3g ms", quantileMs(histogram, 0.5),
                  quantileMs(histogram, 0.99));
    return buffer;
}

} // namespace Trefoil
