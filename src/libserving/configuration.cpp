#include "libserving/controlstate.h"

#include <algorithm>
#include <cmath>

namespace Trefoil {

namespace {

constexpr double MaxWorkspaceWeight = 1e6;
constexpr std::uint32_t MaxVmsPerGroup = 64;
constexpr std::uint32_t MaxGroups = 10'000;

CommandReply makeRefusal(ReplyCode code, std::string message)
{
    CommandReply reply;
    reply.code = code;
    reply.message = std::move(message);
    return reply;
}

CommandReply makeAcceptance()
{
    return {};
}

// Applies the configuration command at a log index to the configuration.
struct ConfigurationVisitor
{
    Configuration &config;
    LogIndex index;

    CommandReply operator()(const SetWorkspace &command) const
    {
        if (command.workspace.id.empty())
            return makeRefusal(ReplyCode::Invalid, "workspace name is empty");
        const double weight = command.workspace.weight;
        if (!std::isfinite(weight) || weight <= 0 || weight > MaxWorkspaceWeight)
            return makeRefusal(ReplyCode::Invalid, "weight must be above 0 and at most 1000000");
        config.workspaces[command.workspace.id] = command.workspace;
        return makeAcceptance();
    }

    CommandReply operator()(const RemoveWorkspace &command) const
    {
        if (config.workspaces.erase(command.workspace) == 0)
            return makeRefusal(ReplyCode::NotFound, "no workspace '" + command.workspace + "'");
        return makeAcceptance();
    }

    CommandReply operator()(const SetDeployment &command) const
    {
        const Deployment deployment = mergeDeployment(command);
        if (deployment.id.empty() || deployment.model.empty() || deployment.version.empty())
            return makeRefusal(ReplyCode::Invalid,
                               "a deployment needs a name, a model and a version");
        if (deployment.vmsPerGroup == 0 || deployment.vmsPerGroup > MaxVmsPerGroup)
            return makeRefusal(ReplyCode::Invalid, "vms-per-group must be 1 to 64");
        if (deployment.groups > MaxGroups)
            return makeRefusal(ReplyCode::Invalid, "groups must be at most 10000");
        if (!(deployment.downtimeWeight >= 0) || !(deployment.strandedWeight >= 0))
            return makeRefusal(ReplyCode::Invalid, "objective weights must not be negative");
        config.deployments[deployment.id] = deployment;
        return makeAcceptance();
    }

    CommandReply operator()(const RemoveDeployment &command) const
    {
        if (config.deployments.erase(command.deployment) == 0)
            return makeRefusal(ReplyCode::NotFound, "no deployment '" + command.deployment + "'");
        return makeAcceptance();
    }

    CommandReply operator()(const AnnounceVm &command) const
    {
        if (command.vm.id.empty() || command.vm.address.empty())
            return makeRefusal(ReplyCode::Invalid, "a VM needs a name and an address");
        if (command.vm.role == VmRole::Service && command.vm.service.empty())
            return makeRefusal(ReplyCode::Invalid, "a service VM names its service");
        const Vm *known = findVm(config, command.vm.id);
        if (known && known->incarnation > command.vm.incarnation)
            return makeRefusal(ReplyCode::Invalid, "an older incarnation of the VM");
        if (known && known->incarnation == command.vm.incarnation
            && known->status == VmStatus::Left)
            return makeRefusal(ReplyCode::Invalid, "this incarnation of the VM has left");
        Vm vm = command.vm;
        const bool isSameIncarnation = known && known->incarnation == vm.incarnation;
        vm.status = isSameIncarnation && known->status == VmStatus::Draining ? VmStatus::Draining
                                                                             : VmStatus::Active;
        config.vms[vm.id] = std::move(vm);
        return makeAcceptance();
    }

    CommandReply operator()(const SetVmStatus &command) const
    {
        const auto found = config.vms.find(command.vm);
        if (found == config.vms.end())
            return makeRefusal(ReplyCode::NotFound, "no VM '" + command.vm + "'");
        if (command.incarnation != 0 && command.incarnation != found->second.incarnation)
            return makeRefusal(ReplyCode::Invalid, "another incarnation of the VM");
        if (found->second.status == VmStatus::Left && command.status != VmStatus::Left)
            return makeRefusal(ReplyCode::Invalid, "the VM has left");
        found->second.status = command.status;
        return makeAcceptance();
    }

    CommandReply operator()(const ForgetVm &command) const
    {
        const Vm *vm = findVm(config, command.vm);
        if (!vm)
            return makeRefusal(ReplyCode::NotFound, "no VM '" + command.vm + "'");
        if (vm->status == VmStatus::Active || groupOfVm(config, command.vm))
            return makeRefusal(ReplyCode::Invalid, "the VM is in use");
        config.vms.erase(command.vm);
        return makeAcceptance();
    }

    CommandReply operator()(const FormGroup &command) const
    {
        const auto deployment = config.deployments.find(command.deployment);
        if (deployment == config.deployments.end())
            return makeRefusal(ReplyCode::NotFound, "no deployment '" + command.deployment + "'");
        if (command.vms.size() != deployment->second.vmsPerGroup)
            return makeRefusal(ReplyCode::Invalid, "wrong number of VMs for the deployment");
        if (const std::string conflict = findVmConflict(command.vms); !conflict.empty())
            return makeRefusal(ReplyCode::Invalid, conflict);
        ServingGroup group;
        group.id = index;
        group.deployment = command.deployment;
        group.version = deployment->second.version;
        group.vms = command.vms;
        group.dispatcher = command.dispatcher;
        group.dispatcherSince = index;
        config.groups[group.id] = group;
        CommandReply reply = makeAcceptance();
        reply.formedGroup = group.id;
        return reply;
    }

    CommandReply operator()(const DrainGroup &command) const
    {
        const auto found = config.groups.find(command.group);
        if (found == config.groups.end())
            return makeRefusal(ReplyCode::NotFound, "no group " + std::to_string(command.group));
        found->second.status = GroupStatus::Draining;
        return makeAcceptance();
    }

    CommandReply operator()(const EndGroup &command) const
    {
        if (config.groups.erase(command.group) == 0)
            return makeRefusal(ReplyCode::NotFound, "no group " + std::to_string(command.group));
        return makeAcceptance();
    }

    CommandReply operator()(const SetDispatcher &command) const
    {
        const auto found = config.groups.find(command.group);
        if (found == config.groups.end())
            return makeRefusal(ReplyCode::NotFound, "no group " + std::to_string(command.group));
        found->second.dispatcher = command.dispatcher;
        found->second.dispatcherSince = index;
        return makeAcceptance();
    }

    CommandReply operator()(const SetEntryDraining &command) const
    {
        if (command.entry.empty())
            return makeRefusal(ReplyCode::Invalid, "entry name is empty");
        if (command.draining)
            config.drainingEntries.insert(command.entry);
        else
            config.drainingEntries.erase(command.entry);
        return makeAcceptance();
    }

    CommandReply operator()(const PublishServices &command) const
    {
        if (command.version > config.services.version)
            config.services = {command.version, command.document};
        return makeAcceptance();
    }

    // Idempotency keys and departures do not change the configuration.
    CommandReply operator()(const ClaimKey &) const { return makeAcceptance(); }
    CommandReply operator()(const FinishKey &) const { return makeAcceptance(); }
    CommandReply operator()(const ReleaseKey &) const { return makeAcceptance(); }
    CommandReply operator()(const AbandonKeys &) const { return makeAcceptance(); }
    CommandReply operator()(const RecordDepartures &) const { return makeAcceptance(); }
    CommandReply operator()(const RecordGroups &) const { return makeAcceptance(); }

private:
    // Returns the known deployment, if any, with the fields that the command gives.
    Deployment mergeDeployment(const SetDeployment &command) const
    {
        Deployment deployment;
        const auto known = config.deployments.find(command.deployment);
        if (known != config.deployments.end())
            deployment = known->second;
        deployment.id = command.deployment;
        deployment.model = command.model.value_or(deployment.model);
        deployment.version = command.version.value_or(deployment.version);
        deployment.placement = command.placement.value_or(deployment.placement);
        deployment.vmsPerGroup = command.vmsPerGroup.value_or(deployment.vmsPerGroup);
        deployment.groups = command.groups.value_or(deployment.groups);
        deployment.downtimeWeight = command.downtimeWeight.value_or(deployment.downtimeWeight);
        deployment.strandedWeight = command.strandedWeight.value_or(deployment.strandedWeight);
        return deployment;
    }

    // Returns why the VMs cannot form a group, or an empty string.
    std::string findVmConflict(const std::vector<VmId> &vms) const
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
           && !std::holds_alternative<AbandonKeys>(command)
           && !std::holds_alternative<RecordDepartures>(command)
           && !std::holds_alternative<RecordGroups>(command);
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
