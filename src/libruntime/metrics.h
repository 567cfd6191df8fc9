#pragma once

#include "libserving/serving.h"

#include <map>
#include <memory>
#include <string>

namespace Trefoil {

// Latency histograms by workspace and request class, and named counters and gauges. Not
// thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    // Records the time from the arrival of a request to the first byte, or to the end, of its
    // response.
    void recordFirstByteTime(const WorkspaceId &workspace, RequestClass requestClass,
                             Duration duration);
    void recordTotalTime(const WorkspaceId &workspace, RequestClass requestClass,
                         Duration duration);

    // The same for classes whose names come from the configuration, such as routes.
    void recordFirstByteTime(const WorkspaceId &workspace, const std::string &className,
                             Duration duration);
    void recordTotalTime(const WorkspaceId &workspace, const std::string &className,
                         Duration duration);

    // `labels` has the Prometheus form name="value",... and may be empty.
    void incrementCounter(const std::string &name, const std::string &labels, double by = 1);
    void setGauge(const std::string &name, const std::string &labels, double value);

    // Returns the histogram of the first-byte times of each workspace over all its classes.
    std::map<WorkspaceId, DurationHistogram> firstByteHistograms() const;

    // Formats all metrics in the Prometheus text format.
    std::string prometheusText() const;

private:
    struct Data;
    std::unique_ptr<Data> data_;
};

} // namespace Trefoil
