#pragma once

#include "libserving/model.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Tables that operators ask for. Rows are filtered and aggregated at the entry that holds them; the
// asked entry merges the partial results.

namespace Trefoil {

// Counts of durations in buckets whose bounds grow by a constant factor.
struct DurationHistogram
{
    std::vector<std::uint64_t> counts;

    bool operator==(const DurationHistogram &) const = default;
};

constexpr std::size_t DurationBuckets = 64;

// Upper bound of the first bucket, in milliseconds; the bounds grow by the cube root of 2.
constexpr double FirstBucketMs = 0.1;
constexpr double BucketsPerDoubling = 3;

double bucketUpperMs(std::size_t bucket);

// Upper bound of the bucket that holds the quantile, in milliseconds; 0 without samples.
double quantileMs(const DurationHistogram &histogram, double quantile);

using Cell = std::variant<std::int64_t, double, std::string, DurationHistogram>;

enum class ColumnMerge : std::uint8_t { Key, Sum, Max, Histogram };

struct ColumnSpec
{
    std::string_view name;
    ColumnMerge merge;
    std::string_view help;
};

struct TableSpec
{
    std::string_view name;
    bool isDistributed; // each entry holds a part of the rows
    std::span<const ColumnSpec> columns;
    std::string_view help;
};

std::span<const TableSpec> tableSpecs();
const TableSpec *findTable(std::string_view name);

// Index of the column, or nothing.
std::optional<std::size_t> findColumn(const TableSpec &table, std::string_view column);

enum class Comparison : std::uint8_t { Equal, NotEqual, Less, LessEqual, Greater, GreaterEqual };

struct Condition
{
    std::size_t column = 0;
    Comparison comparison = Comparison::Equal;
    Cell value;
};

struct ShowQuery
{
    std::string table;
    std::vector<Condition> where;
    std::vector<std::size_t> by; // key columns that rows are aggregated over; empty keeps all keys
    std::uint32_t limit = 0;     // 0 for no limit
};

using Row = std::vector<Cell>; // one cell for each column of the table

// Keeps the rows that meet the conditions and aggregates them over the query's key columns.
std::vector<Row> evaluateQuery(const ShowQuery &query, std::span<const Row> rows);

// Merges partial results of several entries.
std::vector<Row> mergePartials(const ShowQuery &query, std::vector<Row> rows);

// Text of a cell; histograms show their quantiles.
std::string toText(const Cell &cell);

} // namespace Trefoil
