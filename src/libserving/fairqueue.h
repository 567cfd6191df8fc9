#pragma once

#include "libserving/request.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <vector>

// Weighted fair queue over workspaces with classes inside each workspace's share. Each workspace
// has a virtual counter of work divided by its weight; the backlogged workspace with the lowest
// counter goes next. Work is charged as it accrues. A workspace that was idle starts at the
// current virtual time, so it banks nothing.

namespace Trefoil {

struct FairQueueOptions
{
    std::size_t maxQueued = 20'000;
    std::size_t maxQueuedPerWorkspace = 5'000;
    // Share of each class inside a workspace: lookups, drafts, batch.
    std::array<double, RequestClassCount> classWeights = {8, 4, 1};
};

struct QueueItem
{
    RequestId id;
    RequestClass requestClass = RequestClass::Draft;
    double cost = 1; // charged when the item is taken
    TimePoint enqueuedAt{};
    TimePoint deadline{};
};

struct ClassQueue
{
    std::deque<QueueItem> items;
    double counter = 0;
};

struct WorkspaceQueue
{
    double weight = 1;
    double counter = 0; // work charged / weight
    double classTime = 0;
    std::array<ClassQueue, RequestClassCount> classes;
    std::size_t queued = 0;
    double queuedCost = 0;
    double charged = 0; // work charged here, in total
};

struct FairQueue
{
    FairQueueOptions options;
    std::map<WorkspaceId, WorkspaceQueue> workspaces;
    double virtualTime = 0;
    std::size_t queued = 0;
};

void setWorkspaceWeight(FairQueue &queue, const WorkspaceId &workspace, double weight);

// Returns false when the queue or the workspace's part of it is full.
bool enqueue(FairQueue &queue, const WorkspaceId &workspace, QueueItem item);

// Takes the next item and charges its cost.
std::optional<QueueItem> dequeue(FairQueue &queue);

// Charges work that accrued after the item was taken, or gives back work that was not done.
void chargeWork(FairQueue &queue, const WorkspaceId &workspace, RequestClass requestClass,
                double cost);

// Charges work that another dispatcher did for the workspace.
void chargeRemoteWork(FairQueue &queue, const WorkspaceId &workspace, double cost);

// Removes a queued item. Returns false when it is not queued.
bool removeQueued(FairQueue &queue, const WorkspaceId &workspace, const RequestId &id);

// Removes and returns the items whose deadline has passed.
std::vector<QueueItem> takeExpired(FairQueue &queue, TimePoint now);

// Share of the backlogged workspaces' weights that the workspace has, itself counted.
double backloggedShare(const FairQueue &queue, const WorkspaceId &workspace);

} // namespace Trefoil
