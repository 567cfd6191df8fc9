#pragma once

#include "libserving/model.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Tables for the queries of operators. Each entry filters and aggregates the rows that it holds,
// and the entry that received the query merges the partial results.

namespace Trefoil {

// Counts durations in buckets whose bounds grow by a constant factor.
struct DurationHistogram
{
    std::vector<std::uint64_t> counts;

    bool operator==(const DurationHistogram &) const = default;
};

constexpr std::size_t DurationBuckets = 64;

// The upper bound of the first bucket, in milliseconds. Each further bound is larger by a factor of
// the cube root of 2.
constexpr double FirstBucketMs = 0.1;
constexpr double BucketsPerDoubling = 3;

// Returns the upper bound of a bucket, in milliseconds.
double bucketUpperMs(std::size_t bucket);

// Returns the upper bound of the bucket that holds the quantile, in milliseconds, or 0 without
// samples.
double quantileMs(const DurationHistogram &histogram, double quantile);

using Cell = std::variant<std::int64_t, double, std::string, DurationHistogram>;

// Tells how the cells of a column are combined when rows are aggregated. Key columns identify a
// row.
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
    // True when each entry holds a part of the rows.
    bool isDistributed;
    std::span<const ColumnSpec> columns;
    std::string_view help;
};

std::span<const TableSpec> tableSpecs();

// Returns the table with the name, or null.
const TableSpec *findTable(std::string_view name);

// Returns the index of the column, or nothing.
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
    // The key columns that remain in the result. When it is empty, all remain.
    std::vector<std::size_t> groupBy;
    // The maximum number of rows; 0 means no limit.
    std::uint32_t limit = 0;
};

// One cell for each column of the table.
using Row = std::vector<Cell>;

// Selects the rows that match the conditions and aggregates them by the query's key columns.
std::vector<Row> evaluateQuery(const ShowQuery &query, std::span<const Row> rows);

// Merges the partial results of several entries, sorts the rows and applies the limit.
std::vector<Row> mergePartials(const ShowQuery &query, std::vector<Row> rows);

// Returns the text of a cell. The text of a histogram gives its quantiles.
std::string toText(const Cell &cell);

} // namespace Trefoil
