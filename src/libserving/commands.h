#pragma once

#include "libserving/model.h"

#include <optional>
#include <string>
#include <variant>

// Commands of the replicated log. Every change of the control state is one of these.

namespace Trefoil {

struct SetWorkspace
{
    Workspace workspace;
};

struct RemoveWorkspace
{
    WorkspaceId workspace;
};

// Creates a deployment or changes the given fields of one. Fields that are left out keep their
// value, so that two operators who change different fields do not undo each other.
struct SetDeployment
{
    DeploymentId deployment;
    std::optional<std::string> model;
    std::optional<std::string> version;
    std::optional<std::string> placement;
    std::optional<std::uint32_t> vmsPerGroup;
    std::optional<std::uint32_t> groups;
    std::optional<double> downtimeWeight;
    std::optional<double> strandedWeight;
};

struct RemoveDeployment
{
    DeploymentId deployment;
};

// First announcement or restart of a VM. An older incarnation than the known one is refused.
struct AnnounceVm
{
    Vm vm;
};

struct SetVmStatus
{
    VmId vm;
    std::uint64_t incarnation = 0; // 0 applies to any incarnation
    VmStatus status = VmStatus::Active;
};

struct ForgetVm
{
    VmId vm;
};

struct FormGroup
{
    DeploymentId deployment;
    std::vector<VmId> vms;
    EntryId dispatcher;
};

// Stops giving a group new work; it ends once its requests have finished.
struct DrainGroup
{
    GroupId group = 0;
};

// Frees the VMs of a group.
struct EndGroup
{
    GroupId group = 0;
    std::string reason;
};

struct SetDispatcher
{
    GroupId group = 0;
    EntryId dispatcher;
};

struct SetEntryDraining
{
    EntryId entry;
    bool draining = true;
};

// Publishes a whole description of routes, services and workspaces. The document is opaque to the
// log. A version that is not higher than the published one changes nothing and is accepted.
struct PublishServices
{
    std::uint64_t version = 0;
    std::string document;
};

enum class KeyOutcome : std::uint8_t {
    Running,
    Done,
    Failed,
    Unknown,
    Released, // given back by its owner; open to every other owner
};

// Identity of one execution of a keyed call.
struct KeyOwner
{
    EntryId entry;
    std::uint64_t incarnation = 0; // of the entry's process
    std::uint64_t request = 0;     // request number within the process

    bool operator==(const KeyOwner &) const = default;
};

// Reserves an idempotency key before the call is handed to an endpoint.
struct ClaimKey
{
    std::string key;
    std::uint64_t digest = 0; // of the request, to refuse a key that is reused for another one
    KeyOwner owner;
};

// Records the outcome of a claimed key and the answer that resends get.
struct FinishKey
{
    std::string key;
    KeyOwner owner;
    KeyOutcome outcome = KeyOutcome::Done;
    std::uint32_t status = 0; // HTTP status of the answer
    std::string contentType;
    std::string body;
};

// Gives a claim back after the call was proved not to have run.
struct ReleaseKey
{
    std::string key;
    KeyOwner owner;
};

// Marks the unfinished claims of a process that is gone as unknown.
struct AbandonKeys
{
    EntryId entry;
    std::uint64_t belowIncarnation = 0;
};

using Command = std::variant<SetWorkspace, RemoveWorkspace, SetDeployment, RemoveDeployment,
                             AnnounceVm, SetVmStatus, ForgetVm, FormGroup, DrainGroup, EndGroup,
                             SetDispatcher, SetEntryDraining, PublishServices, ClaimKey, FinishKey,
                             ReleaseKey, AbandonKeys>;

// True for commands that change the configuration that entries hold; false for key commands.
bool changesConfiguration(const Command &command);

// Identity of an operator's command. The same identity always gets its first answer.
struct CommandIdentity
{
    std::string operatorName; // empty for commands of the system itself, which are not remembered
    std::uint64_t number = 0;
    std::uint64_t digest = 0; // of the command text

    bool operator==(const CommandIdentity &) const = default;
};

// Payload of a log entry.
struct Proposal
{
    CommandIdentity identity;
    std::optional<ConfigVersion> expectedVersion; // refused when the configuration has moved on
    std::uint64_t wallTimeMs = 0;                 // proposer's wall clock, for the expiry of keys
    Command command;
};

enum class ReplyCode : std::uint8_t {
    Accepted,
    Invalid, // the command contradicts the state or itself
    NotFound,
    VersionMismatch, // expectedVersion is not the current version
    NumberReused,    // same operator and number, other text
    KeyGranted,
    KeyRunning,  // another execution holds the key
    KeyFinished, // `key` holds the first outcome
    KeyMismatch, // the key was used for another request
    TableFull,
};

const char *toString(ReplyCode code);

// The first outcome of a keyed call.
struct KeyResult
{
    KeyOutcome outcome = KeyOutcome::Running;
    KeyOwner owner;
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;

    bool operator==(const KeyResult &) const = default;
};

struct CommandReply
{
    ReplyCode code = ReplyCode::Accepted;
    std::string message;
    ConfigVersion version = 0; // version in force once the command is applied
    std::uint64_t subject = 0; // id of a group that the command formed
    KeyResult key;

    bool isAccepted() const { return code == ReplyCode::Accepted; }
    bool operator==(const CommandReply &) const = default;
};

} // namespace Trefoil
