#pragma once

#include "libcoord/coord.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// The configuration that the replicated log decides and every entry holds.

namespace Trefoil {

using VmId = std::string;
using WorkspaceId = std::string;
using DeploymentId = std::string;
using ServiceId = std::string;

// Log index of the command that formed the group. Also the fencing number of the group's orders,
// since it only grows for each VM.
using GroupId = std::uint64_t;

enum class VmRole : std::uint8_t { Engine, Service };

enum class VmStatus : std::uint8_t {
    Active,
    Draining, // finishes its requests, gets no new ones
    Lost,     // missed its heartbeats for longer than the loss timeout
    Left,     // announced its departure
};

// A machine that runs a model engine or a plain service.
struct Vm
{
    VmId id;
    std::string address; // IP:port of its HTTP interface
    std::string domain;  // failure domain
    std::string fabric;  // fabric domain
    VmRole role = VmRole::Engine;
    ServiceId service; // name of the plain service, empty for engines
    std::uint32_t accelerators = 0;
    std::uint32_t slots = 1; // requests that it runs at the same time
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

// A model that is to be served by a number of groups.
struct Deployment
{
    DeploymentId id;
    std::string model;
    std::string version;
    std::string placement = "weighted"; // name of the placement policy
    std::uint32_t vmsPerGroup = 1;
    std::uint32_t groups = 1;
    double downtimeWeight = 1; // cost of a group-minute below the desired count
    double strandedWeight = 1; // cost of an accelerator-minute outside a serving group

    bool operator==(const Deployment &) const = default;
};

enum class GroupStatus : std::uint8_t { Active, Draining };

// A replica of a deployment over several VMs of one fabric domain.
struct ServingGroup
{
    GroupId id = 0;
    DeploymentId deployment;
    std::string version;
    std::vector<VmId> vms; // the first one takes the group's requests
    EntryId dispatcher;    // the only entry that starts requests on the group
    ConfigVersion dispatcherSince = 0;
    GroupStatus status = GroupStatus::Active;

    bool operator==(const ServingGroup &) const = default;
};

// Routes, services and workspaces as an operator published them. Version 0 stands for none.
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

// The group that holds the VM, or null.
const ServingGroup *groupOfVm(const Configuration &config, const VmId &vm);

const Vm *findVm(const Configuration &config, const VmId &vm);

const char *toString(VmRole role);
const char *toString(VmStatus status);
const char *toString(GroupStatus status);

} // namespace Trefoil
