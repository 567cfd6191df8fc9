#pragma once

#include "libserving/serving.h"

#include <map>
#include <memory>
#include <string>

namespace Trefoil {

// Durations by workspace and class, and named counters and gauges. Used on one thread.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    // Time from arrival to the first byte, and to the end, of a request.
    void addFirstByte(const WorkspaceId &workspace, RequestClass requestClass, Duration duration);
    void addTotal(const WorkspaceId &workspace, RequestClass requestClass, Duration duration);

    // The same for classes that operators name, such as routes.
    void addFirstByte(const WorkspaceId &workspace, const std::string &className,
                      Duration duration);
    void addTotal(const WorkspaceId &workspace, const std::string &className, Duration duration);

    void addCount(const std::string &name, const std::string &labels, double by = 1);
    void setGauge(const std::string &name, const std::string &labels, double value);

    // First-byte times of each workspace, all classes together.
    std::map<WorkspaceId, DurationHistogram> firstByteHistograms() const;

    // All metrics in the Prometheus text format.
    std::string prometheusText() const;

private:
    struct Store;
    std::unique_ptr<Store> store_;
};

} // namespace Trefoil
