#include "libserving/controlstate.h"

#include <algorithm>
#include <cmath>

namespace Trefoil {

namespace {

constexpr double MaxWorkspaceWeight = 1e6;
constexpr std::uint32_t MaxVmsPerGroup = 64;
constexpr std::uint32_t MaxGroups = 10'000;

CommandReply refuse(ReplyCode code, std::string message)
{
    CommandReply reply;
    reply.code = code;
    reply.message = std::move(message);
    return reply;
}

CommandReply accept()
{
    return {};
}

// Applies one configuration command. The visitor's state is the configuration and the log index.
struct ConfigurationVisitor
{
    Configuration &config;
    LogIndex index;

    CommandReply operator()(const SetWorkspace &c) const
    {
        if (c.workspace.id.empty())
            return refuse(ReplyCode::Invalid, "workspace name is empty");
        const double weight = c.workspace.weight;
        if (!std::isfinite(weight) || weight <= 0 || weight > MaxWorkspaceWeight)
            return refuse(ReplyCode::Invalid, "weight must be above 0 and at most 1000000");
        config.workspaces[c.workspace.id] = c.workspace;
        return accept();
    }

    CommandReply operator()(const RemoveWorkspace &c) const
    {
        if (config.workspaces.erase(c.workspace) == 0)
            return refuse(ReplyCode::NotFound, "no workspace '" + c.workspace + "'");
        return accept();
    }

    CommandReply operator()(const SetDeployment &c) const
    {
        const Deployment d = patched(c);
        if (d.id.empty() || d.model.empty() || d.version.empty())
            return refuse(ReplyCode::Invalid, "a deployment needs a name, a model and a version");
        if (d.vmsPerGroup == 0 || d.vmsPerGroup > MaxVmsPerGroup)
            return refuse(ReplyCode::Invalid, "vms-per-group must be 1 to 64");
        if (d.groups > MaxGroups)
            return refuse(ReplyCode::Invalid, "groups must be at most 10000");
        if (!(d.downtimeWeight >= 0) || !(d.strandedWeight >= 0))
            return refuse(ReplyCode::Invalid, "objective weights must not be negative");
        config.deployments[d.id] = d;
        return accept();
    }

    CommandReply operator()(const RemoveDeployment &c) const
    {
        if (config.deployments.erase(c.deployment) == 0)
            return refuse(ReplyCode::NotFound, "no deployment '" + c.deployment + "'");
        return accept();
    }

    CommandReply operator()(const AnnounceVm &c) const
    {
        if (c.vm.id.empty() || c.vm.address.empty())
            return refuse(ReplyCode::Invalid, "a VM needs a name and an address");
        if (c.vm.role == VmRole::Service && c.vm.service.empty())
            return refuse(ReplyCode::Invalid, "a service VM names its service");
        const Vm *known = findVm(config, c.vm.id);
        if (known && known->incarnation > c.vm.incarnation)
            return refuse(ReplyCode::Invalid, "an older incarnation of the VM");
        if (known && known->incarnation == c.vm.incarnation && known->status == VmStatus::Left)
            return refuse(ReplyCode::Invalid, "this incarnation of the VM has left");
        Vm vm = c.vm;
        const bool sameRun = known && known->incarnation == vm.incarnation;
        vm.status = sameRun && known->status == VmStatus::Draining ? VmStatus::Draining
                                                                   : VmStatus::Active;
        config.vms[vm.id] = std::move(vm);
        return accept();
    }

    CommandReply operator()(const SetVmStatus &c) const
    {
        const auto found = config.vms.find(c.vm);
        if (found == config.vms.end())
            return refuse(ReplyCode::NotFound, "no VM '" + c.vm + "'");
        if (c.incarnation != 0 && c.incarnation != found->second.incarnation)
            return refuse(ReplyCode::Invalid, "another incarnation of the VM");
        if (found->second.status == VmStatus::Left && c.status != VmStatus::Left)
            return refuse(ReplyCode::Invalid, "the VM has left");
        found->second.status = c.status;
        return accept();
    }

    CommandReply operator()(const ForgetVm &c) const
    {
        const Vm *vm = findVm(config, c.vm);
        if (!vm)
            return refuse(ReplyCode::NotFound, "no VM '" + c.vm + "'");
        if (vm->status == VmStatus::Active || groupOfVm(config, c.vm))
            return refuse(ReplyCode::Invalid, "the VM is in use");
        config.vms.erase(c.vm);
        return accept();
    }

    CommandReply operator()(const FormGroup &c) const
    {
        const auto deployment = config.deployments.find(c.deployment);
        if (deployment == config.deployments.end())
            return refuse(ReplyCode::NotFound, "no deployment '" + c.deployment + "'");
        if (c.vms.size() != deployment->second.vmsPerGroup)
            return refuse(ReplyCode::Invalid, "wrong number of VMs for the deployment");
        if (const std::string reason = reasonAgainstVms(c.vms); !reason.empty())
            return refuse(ReplyCode::Invalid, reason);
        ServingGroup group;
        group.id = index;
        group.deployment = c.deployment;
        group.version = deployment->second.version;
        group.vms = c.vms;
        group.dispatcher = c.dispatcher;
        group.dispatcherSince = index;
        config.groups[group.id] = group;
        CommandReply reply = accept();
        reply.subject = group.id;
        return reply;
    }

    CommandReply operator()(const DrainGroup &c) const
    {
        const auto found = config.groups.find(c.group);
        if (found == config.groups.end())
            return refuse(ReplyCode::NotFound, "no group " + std::to_string(c.group));
        found->second.status = GroupStatus::Draining;
        return accept();
    }

    CommandReply operator()(const EndGroup &c) const
    {
        if (config.groups.erase(c.group) == 0)
            return refuse(ReplyCode::NotFound, "no group " + std::to_string(c.group));
        return accept();
    }

    CommandReply operator()(const SetDispatcher &c) const
    {
        const auto found = config.groups.find(c.group);
        if (found == config.groups.end())
            return refuse(ReplyCode::NotFound, "no group " + std::to_string(c.group));
        found->second.dispatcher = c.dispatcher;
        found->second.dispatcherSince = index;
        return accept();
    }

    CommandReply operator()(const SetEntryDraining &c) const
    {
        if (c.entry.empty())
            return refuse(ReplyCode::Invalid, "entry name is empty");
        if (c.draining)
            config.drainingEntries.insert(c.entry);
        else
            config.drainingEntries.erase(c.entry);
        return accept();
    }

    CommandReply operator()(const PublishServices &c) const
    {
        if (c.version > config.services.version)
            config.services = {c.version, c.document};
        return accept();
    }

    // Key commands do not reach the configuration.
    CommandReply operator()(const ClaimKey &) const { return accept(); }
    CommandReply operator()(const FinishKey &) const { return accept(); }
    CommandReply operator()(const ReleaseKey &) const { return accept(); }
    CommandReply operator()(const AbandonKeys &) const { return accept(); }

private:
    Deployment patched(const SetDeployment &c) const
    {
        Deployment d;
        const auto known = config.deployments.find(c.deployment);
        if (known != config.deployments.end())
            d = known->second;
        d.id = c.deployment;
        d.model = c.model.value_or(d.model);
        d.version = c.version.value_or(d.version);
        d.placement = c.placement.value_or(d.placement);
        d.vmsPerGroup = c.vmsPerGroup.value_or(d.vmsPerGroup);
        d.groups = c.groups.value_or(d.groups);
        d.downtimeWeight = c.downtimeWeight.value_or(d.downtimeWeight);
        d.strandedWeight = c.strandedWeight.value_or(d.strandedWeight);
        return d;
    }

    std::string reasonAgainstVms(const std::vector<VmId> &vms) const
    {
        std::set<VmId> seen;
        std::string fabric;
        for (const VmId &id : vms) {
            const Vm *vm = findVm(config, id);
            if (!vm || vm->role != VmRole::Engine || vm->status != VmStatus::Active)
                return "VM '" + id + "' is not an active engine";
            if (!seen.insert(id).second)
                return "VM '" + id + "' is named twice";
            if (groupOfVm(config, id))
                return "VM '" + id + "' is in another group";
            if (!fabric.empty() && fabric != vm->fabric)
                return "the VMs are in different fabric domains";
            fabric = vm->fabric;
        }
        return {};
    }
};

} // namespace

bool changesConfiguration(const Command &command)
{
    return !std::holds_alternative<ClaimKey>(command) && !std::holds_alternative<FinishKey>(command)
           && !std::holds_alternative<ReleaseKey>(command)
           && !std::holds_alternative<AbandonKeys>(command);
}

CommandReply applyToConfiguration(Configuration &config, const Command &command, LogIndex index)
{
    CommandReply reply = std::visit(ConfigurationVisitor{config, index}, command);
    if (changesConfiguration(command) && reply.isAccepted())
        config.version = index;
    reply.version = config.version;
    return reply;
}

void applySeats(Configuration &config, const SeatSet &seats, LogIndex index)
{
    config.seats = seats;
    config.version = index;
}

} // namespace Trefoil
