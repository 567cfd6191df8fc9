#include "libruntime/metrics.h"

#include <boost/histogram.hpp>

#include <cmath>
#include <cstdio>

namespace Trefoil {

namespace {

namespace bh = boost::histogram;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

LogAxis makeAxis()
{
    const double lower = FirstBucketMs * std::exp2(-1.0 / BucketsPerDoubling);
    return {DurationBuckets, lower, bucketUpperMs(DurationBuckets - 1), "ms"};
}

using DurationStore = decltype(bh::make_histogram(makeAxis()));

// One series of durations with its sum.
struct Series
{
    DurationStore histogram = bh::make_histogram(makeAxis());
    double sumMs = 0;

    void add(Duration duration)
    {
        const double ms = std::chrono::duration<double, std::milli>(duration).count();
        histogram(ms);
        sumMs += ms;
    }

    // Bucket counts; values outside the range are counted in the outermost buckets.
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

std::string number(double value)
{
    char text[40];
    std::snprintf(text, sizeof(text), "%.9g", value);
    return text;
}

void writeSeries(std::string &out, const std::string &name, const SeriesKey &key,
                 const Series &series)
{
    const std::string labels = "workspace=\"" + escapeLabel(key.first) + "\",class=\""
                               + escapeLabel(key.second) + "\"";
    std::uint64_t total = 0;
    const DurationHistogram buckets = series.buckets();
    for (std::size_t i = 0; i < buckets.counts.size(); ++i) {
        total += buckets.counts[i];
        if (buckets.counts[i] == 0)
            continue;
        out += name + "_bucket{" + labels + ",le=\"" + number(bucketUpperMs(i) / 1000) + "\"} "
               + std::to_string(total) + "\n";
    }
    out += name + "_bucket{" + labels + ",le=\"+Inf\"} " + std::to_string(total) + "\n";
    out += name + "_sum{" + labels + "} " + number(series.sumMs / 1000) + "\n";
    out += name + "_count{" + labels + "} " + std::to_string(total) + "\n";
}

using Values = std::map<std::string, std::map<std::string, double>>;

void writeValues(std::string &out, const Values &values, const char *type)
{
    for (const auto &[name, byLabels] : values) {
        out += "# TYPE " + name + " " + type + "\n";
        for (const auto &[labels, value] : byLabels)
            out += name + (labels.empty() ? "" : "{" + labels + "}") + " " + number(value) + "\n";
    }
}

} // namespace

struct Metrics::Store
{
    std::map<SeriesKey, Series> firstByte;
    std::map<SeriesKey, Series> total;
    Values counters;
    Values gauges;
};

Metrics::Metrics()
    : store_(std::make_unique<Store>())
{}

Metrics::~Metrics() = default;

void Metrics::addFirstByte(const WorkspaceId &workspace, RequestClass requestClass,
                           Duration duration)
{
    addFirstByte(workspace, RequestClassNames[static_cast<std::size_t>(requestClass)], duration);
}

void Metrics::addFirstByte(const WorkspaceId &workspace, const std::string &className,
                           Duration duration)
{
    store_->firstByte[{workspace, className}].add(duration);
}

void Metrics::addTotal(const WorkspaceId &workspace, RequestClass requestClass, Duration duration)
{
    addTotal(workspace, RequestClassNames[static_cast<std::size_t>(requestClass)], duration);
}

void Metrics::addTotal(const WorkspaceId &workspace, const std::string &className,
                       Duration duration)
{
    store_->total[{workspace, className}].add(duration);
}

void Metrics::addCount(const std::string &name, const std::string &labels, double by)
{
    store_->counters[name][labels] += by;
}

void Metrics::setGauge(const std::string &name, const std::string &labels, double value)
{
    store_->gauges[name][labels] = value;
}

std::map<WorkspaceId, DurationHistogram> Metrics::firstByteHistograms() const
{
    std::map<WorkspaceId, DurationHistogram> result;
    for (const auto &[key, series] : store_->firstByte) {
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
    writeValues(out, store_->counters, "counter");
    writeValues(out, store_->gauges, "gauge");
    out += "# TYPE trefoil_first_byte_seconds histogram\n";
    for (const auto &[key, series] : store_->firstByte)
        writeSeries(out, "trefoil_first_byte_seconds", key, series);
    out += "# TYPE trefoil_request_seconds histogram\n";
    for (const auto &[key, series] : store_->total)
        writeSeries(out, "trefoil_request_seconds", key, series);
    return out;
}

} // namespace Trefoil
