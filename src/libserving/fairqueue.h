#pragma once

#include "libserving/request.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

// Implements weighted fair queueing over workspaces, and over request classes inside each
// workspace's share. Each workspace has a counter of its charged work divided by its weight; the
// backlogged workspace with the lowest counter is served next. Work is charged as it accrues. A
// workspace that was idle resumes at the current virtual time, so it earns no credit while idle.

namespace Trefoil {

struct FairQueueOptions
{
    std::size_t maxQueued = 20'000;
    std::size_t maxQueuedPerWorkspace = 5'000;
    // Weights of the classes lookup, draft and batch inside a workspace.
    std::array<double, RequestClassCount> classWeights = {8, 4, 1};
};

struct QueueItem
{
    RequestId id;
    RequestClass requestClass = RequestClass::Draft;
    // The work that is charged when the item is dequeued.
    double cost = 1;
    TimePoint enqueuedAt{};
    TimePoint deadline{};
};

struct ClassQueue
{
    std::deque<QueueItem> items;
    double virtualWork = 0;
};

struct WorkspaceQueue
{
    double weight = 1;
    // The charged work, local and remote, divided by the weight.
    double virtualWork = 0;
    // The virtual time of the fair queue over the classes.
    double classVirtualTime = 0;
    std::array<ClassQueue, RequestClassCount> classes;
    std::size_t queuedCount = 0;
    double queuedCost = 0;
    // The total of the work that this queue charged. It excludes remote work.
    double chargedWork = 0;
};

struct FairQueue
{
    FairQueueOptions options;
    std::map<WorkspaceId, WorkspaceQueue> workspaces;
    double virtualTime = 0;
    std::size_t queuedCount = 0;
};

void setWorkspaceWeight(FairQueue &queue, const WorkspaceId &workspace, double weight);

// Adds an item. Returns false when the queue or the workspace's part of it is full.
bool enqueue(FairQueue &queue, const WorkspaceId &workspace, QueueItem item);

// Removes the next item in fair order and charges its cost. Returns nothing when the queue is
// empty.
std::optional<QueueItem> dequeue(FairQueue &queue);

// Charges work that accrued after an item was dequeued. A negative cost returns work that was not
// done.
void chargeWork(FairQueue &queue, const WorkspaceId &workspace, RequestClass requestClass,
                double cost);

// Counts work that another dispatcher did for the workspace against the workspace's share of this
// queue.
void chargeRemoteWork(FairQueue &queue, const WorkspaceId &workspace, double cost);

// Removes a queued item. Returns false when it is not queued.
bool removeQueued(FairQueue &queue, const WorkspaceId &workspace, const RequestId &id);

// Removes and returns the items whose deadline has passed.
std::vector<QueueItem> removeExpired(FairQueue &queue, TimePoint now);

// Returns the workspace's weight divided by the sum of its own weight and the weights of all other
// backlogged workspaces.
double backloggedShare(const FairQueue &queue, const WorkspaceId &workspace);

} // namespace Trefoil
