#pragma once

#include "libfleet/fleet.h"
#include "libserving/model.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

// Commands of the replicated log. They are the only way to change the control state, apart from
// seat changes.

namespace Trefoil {

struct SetWorkspace
{
    Workspace workspace;
};

struct RemoveWorkspace
{
    WorkspaceId workspace;
};

// Creates a deployment or changes the given fields of an existing one. Omitted fields keep their
// value, so that two operators who change different fields do not undo each other's change.
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

// Adds a VM, or updates it after a restart. An older incarnation than the known one is refused.
struct AnnounceVm
{
    Vm vm;
};

struct SetVmStatus
{
    VmId vm;
    // The incarnation that the command applies to; 0 applies to any.
    std::uint64_t incarnation = 0;
    VmStatus status = VmStatus::Active;
};

// Removes a VM that is neither active nor in a group.
struct ForgetVm
{
    VmId vm;
};

// Assigns free VMs to a new serving group.
struct FormGroup
{
    DeploymentId deployment;
    std::vector<VmId> vms;
    EntryId dispatcher;
};

// Stops starting requests on a group. The group ends once its running requests have finished.
struct DrainGroup
{
    GroupId group = 0;
};

// Ends a group and frees its VMs.
struct EndGroup
{
    GroupId group = 0;
    std::string reason;
};

// Assigns a group to another dispatcher.
struct SetDispatcher
{
    GroupId group = 0;
    EntryId dispatcher;
};

// Marks an entry as draining or not. The groups of a draining entry move to other dispatchers.
struct SetEntryDraining
{
    EntryId entry;
    bool draining = true;
};

// Publishes a complete description of routes, services and workspaces. The log does not interpret
// the document. A version that is not higher than the published one is accepted without effect.
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
    // The owner released the key. Every other owner can claim it.
    Released,
};

// Identifies one execution of a call with an idempotency key.
struct KeyOwner
{
    EntryId entry;
    // The incarnation of the entry's process, and the request number within it.
    std::uint64_t incarnation = 0;
    std::uint64_t request = 0;

    bool operator==(const KeyOwner &) const = default;
};

// Reserves an idempotency key before the call is sent to an endpoint.
struct ClaimKey
{
    std::string key;
    // A digest of the request, to refuse a key that is reused for another request.
    std::uint64_t digest = 0;
    KeyOwner owner;
};

// Records the outcome of a claimed key and the answer for later calls with the key.
struct FinishKey
{
    std::string key;
    KeyOwner owner;
    KeyOutcome outcome = KeyOutcome::Done;
    // The HTTP status of the answer.
    std::uint32_t status = 0;
    std::string contentType;
    std::string body;
};

// Releases a claim after the call provably did not run.
struct ReleaseKey
{
    std::string key;
    KeyOwner owner;
};

// Sets the outcome of the unfinished claims of an entry's earlier processes to unknown.
struct AbandonKeys
{
    EntryId entry;
    // Applies to the incarnations below this one.
    std::uint64_t belowIncarnation = 0;
};

// The announcement of an endpoint that it leaves. It is final for that incarnation.
struct DepartedEndpoint
{
    std::string endpoint;
    // Unix time of the start of the incarnation. Earlier ones have ended.
    std::uint64_t startedAtMs = 0;
    // Wall clock of the VM that heard the announcement.
    std::uint64_t departedAtMs = 0;

    bool operator==(const DepartedEndpoint &) const = default;
};

// Stores departures, so that they are acknowledged only once no single VM can lose them.
struct RecordDepartures
{
    std::vector<DepartedEndpoint> departures;
};

// Changes which serving groups of engines exist. Refused when a VM would be in two groups.
struct RecordGroups
{
    GroupRecordChanges changes;
};

using Command = std::variant<SetWorkspace, RemoveWorkspace, SetDeployment, RemoveDeployment,
                             AnnounceVm, SetVmStatus, ForgetVm, FormGroup, DrainGroup, EndGroup,
                             SetDispatcher, SetEntryDraining, PublishServices, ClaimKey, FinishKey,
                             ReleaseKey, AbandonKeys, RecordDepartures, RecordGroups>;

// Returns true for commands that change the configuration, and false for idempotency keys,
// departures and groups of engines.
bool changesConfiguration(const Command &command);

// Identifies an operator's command. A repeated identity gets the reply to the first command.
struct CommandIdentity
{
    // The operator's name. It is empty for internal commands, whose replies are not stored.
    std::string operatorName;
    std::uint64_t number = 0;
    // A digest of the command text.
    std::uint64_t digest = 0;

    bool operator==(const CommandIdentity &) const = default;
};

// The payload of a log entry.
struct Proposal
{
    CommandIdentity identity;
    // The proposal is refused when the configuration has another version.
    std::optional<ConfigVersion> expectedVersion;
    // The wall clock of the proposer, for the expiry of idempotency keys.
    std::uint64_t wallTimeMs = 0;
    Command command;
};

enum class ReplyCode : std::uint8_t {
    Accepted,
    // The command contradicts the state or itself.
    Invalid,
    NotFound,
    // The expected version is not the current version.
    VersionMismatch,
    // The operator used the number for another command.
    NumberReused,
    KeyGranted,
    // Another execution holds the key.
    KeyRunning,
    // The key has an outcome, which CommandReply::key holds.
    KeyFinished,
    // The key was used for another request.
    KeyMismatch,
    TableFull,
};

const char *toString(ReplyCode code);

// The state and the recorded answer of an idempotency key.
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
    // The configuration version after the command.
    ConfigVersion version = 0;
    // The group that the command formed, or 0.
    std::uint64_t formedGroup = 0;
    KeyResult key;

    bool isAccepted() const { return code == ReplyCode::Accepted; }
    bool operator==(const CommandReply &) const = default;
};

} // namespace Trefoil
