#pragma once

#include "libcoord/coord.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// The cluster configuration. The replicated log decides it and every entry holds a copy. An entry
// is a process of this system that accepts requests from callers.

namespace Trefoil {

using VmId = std::string;
using WorkspaceId = std::string;
using DeploymentId = std::string;
using ServiceId = std::string;

// The log index of the command that formed the group. It is also the fencing token of the group's
// orders, since it only grows for each VM.
using GroupId = std::uint64_t;

enum class VmRole : std::uint8_t { Engine, Service };

enum class VmStatus : std::uint8_t {
    Active,
    // The VM finishes its requests and gets no new ones.
    Draining,
    // The VM missed its heartbeats for longer than the loss timeout.
    Lost,
    // The VM announced its departure.
    Left,
};

// A machine that runs a model engine, or a plain service without a model.
struct Vm
{
    VmId id;
    // IP:port of the HTTP interface.
    std::string address;
    // The failure domain.
    std::string domain;
    // The fabric domain. All VMs of a group belong to the same one.
    std::string fabric;
    VmRole role = VmRole::Engine;
    // The name of the plain service. It is empty for engines.
    ServiceId service;
    std::uint32_t accelerators = 0;
    // The number of requests that the VM can run at the same time.
    std::uint32_t slots = 1;
    std::uint64_t incarnation = 0;
    bool enforcesFencing = false;
    VmStatus status = VmStatus::Active;

    bool operator==(const Vm &) const = default;
};

struct Workspace
{
    WorkspaceId id;
    double weight = 1;

    bool operator==(const Workspace &) const = default;
};

// A model version that a desired number of serving groups serves.
struct Deployment
{
    DeploymentId id;
    std::string model;
    std::string version;
    // The name of the placement policy.
    std::string placement = "weighted";
    std::uint32_t vmsPerGroup = 1;
    std::uint32_t groups = 1;
    // The cost of a group-minute below the desired number of groups.
    double downtimeWeight = 1;
    // The cost of an accelerator-minute outside a serving group.
    double strandedWeight = 1;

    bool operator==(const Deployment &) const = default;
};

enum class GroupStatus : std::uint8_t { Active, Draining };

// A replica of a deployment over one or more VMs of one fabric domain.
struct ServingGroup
{
    GroupId id = 0;
    DeploymentId deployment;
    std::string version;
    // The first VM receives the group's requests.
    std::vector<VmId> vms;
    // The only entry that starts requests on the group, and the version that assigned it.
    EntryId dispatcher;
    ConfigVersion dispatcherSince = 0;
    GroupStatus status = GroupStatus::Active;

    bool operator==(const ServingGroup &) const = default;
};

// Routes, services and workspaces as an operator published them. Version 0 means that none were
// published.
struct PublishedServices
{
    std::uint64_t version = 0;
    std::string document;

    bool operator==(const PublishedServices &) const = default;
};

struct Configuration
{
    ConfigVersion version = 0;
    SeatSet seats;
    std::map<WorkspaceId, Workspace> workspaces;
    std::map<DeploymentId, Deployment> deployments;
    std::map<VmId, Vm> vms;
    std::map<GroupId, ServingGroup> groups;
    std::set<EntryId> drainingEntries;
    PublishedServices services;

    bool operator==(const Configuration &) const = default;
};

// Returns the group that the VM belongs to, or null.
const ServingGroup *groupOfVm(const Configuration &config, const VmId &vm);

// Returns the VM with the id, or null.
const Vm *findVm(const Configuration &config, const VmId &vm);

const char *toString(VmRole role);
const char *toString(VmStatus status);
const char *toString(GroupStatus status);

} // namespace Trefoil
