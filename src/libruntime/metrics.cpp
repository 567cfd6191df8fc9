#include "libruntime/metrics.h"

#include <boost/histogram.hpp>

#include <cmath>
#include <cstdio>

namespace Trefoil {

namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

// Makes an axis with one bin for each bucket of a DurationHistogram, in milliseconds.
LogAxis makeAxis()
{
    const double lower = FirstBucketMs * std::exp2(-1.0 / BucketsPerDoubling);
    return {DurationBuckets, lower, bucketUpperMs(DurationBuckets - 1), "ms"};
}

using BoostHistogram = decltype(bh::make_histogram(makeAxis()));

// Durations of one workspace and class, with their sum.
struct DurationSeries
{
    BoostHistogram histogram = bh::make_histogram(makeAxis());
    double sumMs = 0;

    void add(Duration duration)
    {
        const double ms = std::chrono::duration<double, std::milli>(duration).count();
        histogram(ms);
        sumMs += ms;
    }

    // Returns the bucket counts. Durations outside the range count in the outermost buckets.
    DurationHistogram buckets() const
    {
        DurationHistogram result;
        result.counts.resize(DurationBuckets);
        const int last = static_cast<int>(DurationBuckets) - 1;
        for (int i = -1; i <= last + 1; ++i) {
            const auto bucket = static_cast<std::size_t>(std::clamp(i, 0, last));
            result.counts[bucket] += static_cast<std::uint64_t>(histogram.at(i));
        }
        return result;
    }
};

// Workspace and class.
using SeriesKey = std::pair<WorkspaceId, std::string>;

std::string escapeLabel(const std::string &value)
{
    std::string escaped;
    for (char c : value) {
        if (c == '"' || c == '\\')
            escaped += '\\';
        if (c == '\n')
            escaped += "\\n";
        else
            escaped += c;
    }
    return escaped;
}

std::string formatNumber(double value)
{
    char text[40];
    std::snprintf(text, sizeof(text), "%.9g", value);
    return text;
}

void writeSeries(std::string &out, const std::string &name, const SeriesKey &key,
                 const DurationSeries &series)
{
    const std::string labels = "workspace=\"" + escapeLabel(key.first) + "\",class=\""
                               + escapeLabel(key.second) + "\"";
    std::uint64_t cumulativeCount = 0;
    const DurationHistogram buckets = series.buckets();
    for (std::size_t i = 0; i < buckets.counts.size(); ++i) {
        cumulativeCount += buckets.counts[i];
        if (buckets.counts[i] == 0)
            continue;
        out += name + "_bucket{" + labels + ",le=\"" + formatNumber(bucketUpperMs(i) / 1000)
               + "\"} " + std::to_string(cumulativeCount) + "\n";
    }
    out += name + "_bucket{" + labels + ",le=\"+Inf\"} " + std::to_string(cumulativeCount) + "\n";
    out += name + "_sum{" + labels + "} " + formatNumber(series.sumMs / 1000) + "\n";
    out += name + "_count{" + labels + "} " + std::to_string(cumulativeCount) + "\n";
}

// Counters or gauges by name and labels.
using ValuesByName = std::map<std::string, std::map<std::string, double>>;

void writeValues(std::string &out, const ValuesByName &values, const char *type)
{
    for (const auto &[name, byLabels] : values) {
        out += "# TYPE " + name + " " + type + "\n";
        for (const auto &[labels, value] : byLabels)
            out += name + (labels.empty() ? "" : "{" + labels + "}") + " " + formatNumber(value)
                   + "\n";
    }
}

} // namespace

struct Metrics::Data
{
    std::map<SeriesKey, DurationSeries> firstByteTimes;
    std::map<SeriesKey, DurationSeries> totalTimes;
    ValuesByName counters;
    ValuesByName gauges;
};

Metrics::Metrics()
    : data_(std::make_unique<Data>())
{}

Metrics::~Metrics() = default;

void Metrics::recordFirstByteTime(const WorkspaceId &workspace, RequestClass requestClass,
                                  Duration duration)
{
    recordFirstByteTime(workspace, RequestClassNames[static_cast<std::size_t>(requestClass)],
                        duration);
}

void Metrics::recordFirstByteTime(const WorkspaceId &workspace, const std::string &className,
                                  Duration duration)
{
    data_->firstByteTimes[{workspace, className}].add(duration);
}

void Metrics::recordTotalTime(const WorkspaceId &workspace, RequestClass requestClass,
                              Duration duration)
{
    recordTotalTime(workspace, RequestClassNames[static_cast<std::size_t>(requestClass)], duration);
}

void Metrics::recordTotalTime(const WorkspaceId &workspace, const std::string &className,
                              Duration duration)
{
    data_->totalTimes[{workspace, className}].add(duration);
}

void Metrics::incrementCounter(const std::string &name, const std::string &labels, double by)
{
    data_->counters[name][labels] += by;
}

void Metrics::setGauge(const std::string &name, const std::string &labels, double value)
{
    data_->gauges[name][labels] = value;
}

std::map<WorkspaceId, DurationHistogram> Metrics::firstByteHistograms() const
{
    std::map<WorkspaceId, DurationHistogram> result;
    for (const auto &[key, series] : data_->firstByteTimes) {
        const DurationHistogram buckets = series.buckets();
        DurationHistogram &merged = result[key.first];
        merged.counts.resize(DurationBuckets);
        for (std::size_t i = 0; i < DurationBuckets; ++i)
            merged.counts[i] += buckets.counts[i];
    }
    return result;
}

std::string Metrics::prometheusText() const
{
    std::string out;
    writeValues(out, data_->counters, "counter");
    writeValues(out, data_->gauges, "gauge");
    out += "# TYPE trefoil_first_byte_seconds histogram\n";
    for (const auto &[key, series] : data_->firstByteTimes)
        writeSeries(out, "trefoil_first_byte_seconds", key, series);
    out += "# TYPE trefoil_request_seconds histogram\n";
    for (const auto &[key, series] : data_->totalTimes)
        writeSeries(out, "trefoil_request_seconds", key, series);
    return out;
}

} // namespace Trefoil
