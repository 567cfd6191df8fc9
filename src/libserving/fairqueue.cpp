#include "libserving/fairqueue.h"

#include <algorithm>

namespace Trefoil {

namespace {

WorkspaceQueue &findOrAddWorkspaceQueue(FairQueue &queue, const WorkspaceId &workspace)
{
    const auto [found, added] = queue.workspaces.try_emplace(workspace);
    if (added)
        found->second.virtualWork = queue.virtualTime;
    return found->second;
}

ClassQueue &classQueueOf(WorkspaceQueue &workspace, RequestClass requestClass)
{
    return workspace.classes[static_cast<std::size_t>(requestClass)];
}

// Returns the class with the lowest virtual work among those with queued items and a positive
// weight.
std::size_t selectClass(const FairQueue &queue, const WorkspaceQueue &workspace)
{
    std::size_t best = RequestClassCount;
    for (std::size_t i = 0; i < RequestClassCount; ++i) {
        if (workspace.classes[i].items.empty() || queue.options.classWeights[i] <= 0)
            continue;
        if (best == RequestClassCount
            || workspace.classes[i].virtualWork < workspace.classes[best].virtualWork)
            best = i;
    }
    return best;
}

// Updates the totals of the queues when an item leaves them.
void subtractFromTotals(FairQueue &queue, WorkspaceQueue &workspace, const QueueItem &item)
{
    --workspace.queuedCount;
    --queue.queuedCount;
    workspace.queuedCost -= item.cost;
    if (workspace.queuedCount == 0)
        workspace.queuedCost = 0;
}

} // namespace

void setWorkspaceWeight(FairQueue &queue, const WorkspaceId &workspace, double weight)
{
    WorkspaceQueue &workspaceQueue = findOrAddWorkspaceQueue(queue, workspace);
    if (workspaceQueue.weight == weight)
        return;
    // Scales the distance to the virtual time, so that it stays the same in units of work.
    workspaceQueue.virtualWork =
            queue.virtualTime
            + (workspaceQueue.virtualWork - queue.virtualTime) * workspaceQueue.weight / weight;
    workspaceQueue.weight = weight;
}

bool enqueue(FairQueue &queue, const WorkspaceId &workspace, QueueItem item)
{
    WorkspaceQueue &workspaceQueue = findOrAddWorkspaceQueue(queue, workspace);
    if (queue.queuedCount >= queue.options.maxQueued
        || workspaceQueue.queuedCount >= queue.options.maxQueuedPerWorkspace)
        return false;
    if (workspaceQueue.queuedCount == 0)
        workspaceQueue.virtualWork = std::max(workspaceQueue.virtualWork, queue.virtualTime);
    ClassQueue &classQueue = classQueueOf(workspaceQueue, item.requestClass);
    if (classQueue.items.empty())
        classQueue.virtualWork = std::max(classQueue.virtualWork, workspaceQueue.classVirtualTime);
    ++workspaceQueue.queuedCount;
    ++queue.queuedCount;
    workspaceQueue.queuedCost += item.cost;
    classQueue.items.push_back(std::move(item));
    return true;
}

std::optional<QueueItem> dequeue(FairQueue &queue)
{
    auto best = queue.workspaces.end();
    for (auto it = queue.workspaces.begin(); it != queue.workspaces.end(); ++it) {
        if (it->second.queuedCount == 0)
            continue;
        if (best == queue.workspaces.end() || it->second.virtualWork < best->second.virtualWork)
            best = it;
    }
    if (best == queue.workspaces.end())
        return std::nullopt;
    WorkspaceQueue &workspaceQueue = best->second;
    queue.virtualTime = std::max(queue.virtualTime, workspaceQueue.virtualWork);
    ClassQueue &classQueue = workspaceQueue.classes[selectClass(queue, workspaceQueue)];
    workspaceQueue.classVirtualTime =
            std::max(workspaceQueue.classVirtualTime, classQueue.virtualWork);
    QueueItem item = std::move(classQueue.items.front());
    classQueue.items.pop_front();
    subtractFromTotals(queue, workspaceQueue, item);
    chargeWork(queue, best->first, item.requestClass, item.cost);
    return item;
}

void chargeWork(FairQueue &queue, const WorkspaceId &workspace, RequestClass requestClass,
                double cost)
{
    WorkspaceQueue &workspaceQueue = findOrAddWorkspaceQueue(queue, workspace);
    workspaceQueue.virtualWork += cost / workspaceQueue.weight;
    workspaceQueue.chargedWork += cost;
    const double classWeight = queue.options.classWeights[static_cast<std::size_t>(requestClass)];
    classQueueOf(workspaceQueue, requestClass).virtualWork += cost / classWeight;
}

void chargeRemoteWork(FairQueue &queue, const WorkspaceId &workspace, double cost)
{
    WorkspaceQueue &workspaceQueue = findOrAddWorkspaceQueue(queue, workspace);
    workspaceQueue.virtualWork += cost / workspaceQueue.weight;
}

bool removeQueued(FairQueue &queue, const WorkspaceId &workspace, const RequestId &id)
{
    const auto found = queue.workspaces.find(workspace);
    if (found == queue.workspaces.end())
        return false;
    for (ClassQueue &classQueue : found->second.classes) {
        const auto item = std::find_if(classQueue.items.begin(), classQueue.items.end(),
                                       [&id](const QueueItem &i) { return i.id == id; });
        if (item == classQueue.items.end())
            continue;
        subtractFromTotals(queue, found->second, *item);
        classQueue.items.erase(item);
        return true;
    }
    return false;
}

std::vector<QueueItem> removeExpired(FairQueue &queue, TimePoint now)
{
    std::vector<QueueItem> expired;
    for (auto &[id, workspaceQueue] : queue.workspaces) {
        for (ClassQueue &classQueue : workspaceQueue.classes) {
            std::erase_if(classQueue.items, [&, &workspaceQueue = workspaceQueue](QueueItem &item) {
                if (item.deadline > now)
                    return false;
                subtractFromTotals(queue, workspaceQueue, item);
                expired.push_back(item);
                return true;
            });
        }
    }
    return expired;
}

double backloggedShare(const FairQueue &queue, const WorkspaceId &workspace)
{
    double total = 0;
    double own = 1;
    for (const auto &[id, workspaceQueue] : queue.workspaces) {
        if (id == workspace)
            own = workspaceQueue.weight;
        else if (workspaceQueue.queuedCount > 0)
            total += workspaceQueue.weight;
    }
    return own / (total + own);
}

} // namespace Trefoil
