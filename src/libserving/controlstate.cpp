#include "libserving/controlstate.h"

#include <algorithm>

namespace Trefoil {

namespace {

constexpr const char *ReplyCodeNames[] = {
        "accepted",    "invalid",     "not-found",    "version-mismatch", "number-reused",
        "key-granted", "key-running", "key-finished", "key-mismatch",     "table-full",
};

CommandReply makeKeyReply(ReplyCode code, const KeyRecord *record = nullptr)
{
    CommandReply reply;
    reply.code = code;
    if (record)
        reply.key = record->result;
    return reply;
}

// Removes the oldest keys until one whose retention has not ended or whose call has no outcome.
void expireKeys(ControlState &state)
{
    while (!state.keysByClaimTime.empty()) {
        const auto found = state.keys.find(state.keysByClaimTime.front());
        if (found == state.keys.end()) {
            state.keysByClaimTime.pop_front();
            continue;
        }
        const KeyRecord &record = found->second;
        const bool isExpired = record.claimedAtMs + state.limits.keyRetentionMs <= state.wallTimeMs;
        if (!isExpired || record.result.outcome == KeyOutcome::Running)
            return;
        state.keys.erase(found);
        state.keysByClaimTime.pop_front();
    }
}

// Applies an idempotency key command to the control state.
struct KeyVisitor
{
    ControlState &state;

    CommandReply operator()(const ClaimKey &command) const
    {
        expireKeys(state);
        const auto found = state.keys.find(command.key);
        if (found == state.keys.end())
            return addClaim(command);
        KeyRecord &record = found->second;
        if (record.result.outcome == KeyOutcome::Released)
            return claimReleasedKey(command, record);
        if (record.digest != command.digest) {
            storeRefusal(record, command.owner);
            return makeKeyReply(ReplyCode::KeyMismatch);
        }
        if (record.result.outcome == KeyOutcome::Running && record.result.owner == command.owner)
            return makeKeyReply(ReplyCode::KeyGranted, &record);
        storeRefusal(record, command.owner);
        const bool isRunning = record.result.outcome == KeyOutcome::Running;
        return makeKeyReply(isRunning ? ReplyCode::KeyRunning : ReplyCode::KeyFinished, &record);
    }

    CommandReply operator()(const FinishKey &command) const
    {
        const auto found = state.keys.find(command.key);
        if (found == state.keys.end() || found->second.result.owner != command.owner)
            return makeKeyReply(ReplyCode::NotFound);
        KeyResult &result = found->second.result;
        // The owner of the key can still replace an unknown outcome by the actual one.
        const bool isUnfinished =
                result.outcome == KeyOutcome::Running || result.outcome == KeyOutcome::Unknown;
        if (!isUnfinished)
            return makeKeyReply(ReplyCode::KeyFinished, &found->second);
        state.runningKeys.erase(command.key);
        result.outcome = command.outcome;
        result.status = command.status;
        result.contentType = command.contentType;
        if (command.body.size() <= state.limits.keyBodyBytes)
            result.body = command.body;
        return makeKeyReply(ReplyCode::Accepted, &found->second);
    }

    CommandReply operator()(const ReleaseKey &command) const
    {
        const auto found = state.keys.find(command.key);
        if (found == state.keys.end())
            return addReleasedRecord(command);
        KeyResult &result = found->second.result;
        if (result.owner != command.owner) {
            // The claim of this owner may still arrive. It must not be granted any more.
            storeRefusal(found->second, command.owner);
            return makeKeyReply(ReplyCode::NotFound);
        }
        if (result.outcome != KeyOutcome::Running && result.outcome != KeyOutcome::Unknown)
            return makeKeyReply(ReplyCode::KeyFinished, &found->second);
        state.runningKeys.erase(command.key);
        result.outcome = KeyOutcome::Released;
        return makeKeyReply(ReplyCode::Accepted);
    }

    CommandReply operator()(const AbandonKeys &command) const
    {
        std::erase_if(state.runningKeys, [&](const std::string &key) {
            KeyResult &result = state.keys.at(key).result;
            const bool isAbandoned = result.owner.entry == command.entry
                                     && result.owner.incarnation < command.belowIncarnation;
            if (isAbandoned)
                result.outcome = KeyOutcome::Unknown;
            return isAbandoned;
        });
        return makeKeyReply(ReplyCode::Accepted);
    }

    template <class Other>
    CommandReply operator()(const Other &) const
    {
        return makeKeyReply(ReplyCode::Invalid);
    }

private:
    CommandReply addClaim(const ClaimKey &command) const
    {
        if (state.keys.size() >= state.limits.keys)
            return makeKeyReply(ReplyCode::TableFull);
        KeyRecord record;
        record.digest = command.digest;
        record.claimedAtMs = state.wallTimeMs;
        record.result.owner = command.owner;
        state.keys[command.key] = record;
        state.keysByClaimTime.push_back(command.key);
        state.runningKeys.insert(command.key);
        return makeKeyReply(ReplyCode::KeyGranted, &record);
    }

    static bool wasRefused(const KeyRecord &record, const KeyOwner &owner)
    {
        return std::find(record.refusedOwners.begin(), record.refusedOwners.end(), owner)
               != record.refusedOwners.end();
    }

    void storeRefusal(KeyRecord &record, const KeyOwner &owner) const
    {
        if (wasRefused(record, owner))
            return;
        record.refusedOwners.push_back(owner);
        if (record.refusedOwners.size() > state.limits.maxRefusedOwners)
            record.refusedOwners.pop_front();
    }

    // Claims a released key for another owner. A claim of the owner that released it is a late copy
    // and must not hold the key again.
    CommandReply claimReleasedKey(const ClaimKey &command, KeyRecord &record) const
    {
        if (record.result.owner == command.owner || wasRefused(record, command.owner))
            return makeKeyReply(ReplyCode::Invalid);
        storeRefusal(record, record.result.owner);
        record.digest = command.digest;
        record.result = KeyResult{};
        record.result.owner = command.owner;
        state.runningKeys.insert(command.key);
        return makeKeyReply(ReplyCode::KeyGranted, &record);
    }

    // Records a release that overtook its claim, so that the claim is refused when it arrives.
    CommandReply addReleasedRecord(const ReleaseKey &command) const
    {
        if (state.keys.size() >= state.limits.keys)
            return makeKeyReply(ReplyCode::TableFull);
        KeyRecord record;
        record.claimedAtMs = state.wallTimeMs;
        record.result.owner = command.owner;
        record.result.outcome = KeyOutcome::Released;
        state.keys[command.key] = record;
        state.keysByClaimTime.push_back(command.key);
        return makeKeyReply(ReplyCode::Accepted);
    }
};

// Drops the oldest replies of this operator beyond the limit for each operator, and then the
// operators beyond their limit, starting with the one that was first seen longest ago.
void dropOldestReplies(ControlState &state, OperatorReplies &replies)
{
    while (replies.numbersByAge.size() > state.limits.repliesPerOperator) {
        replies.byNumber.erase(replies.numbersByAge.front());
        replies.numbersByAge.pop_front();
    }
    while (state.operatorsByFirstUse.size() > state.limits.operators) {
        state.replies.erase(state.operatorsByFirstUse.front());
        state.operatorsByFirstUse.pop_front();
    }
}

void storeReply(ControlState &state, const CommandIdentity &identity, const CommandReply &reply)
{
    if (!state.replies.contains(identity.operatorName))
        state.operatorsByFirstUse.push_back(identity.operatorName);
    OperatorReplies &replies = state.replies[identity.operatorName];
    replies.byNumber[identity.number] = {identity.digest, reply};
    replies.numbersByAge.push_back(identity.number);
    dropOldestReplies(state, replies);
}

// Returns the stored reply to an earlier command with the identity's operator and number, or null.
const StoredReply *findReply(const ControlState &state, const CommandIdentity &identity)
{
    const auto replies = state.replies.find(identity.operatorName);
    if (replies == state.replies.end())
        return nullptr;
    const auto found = replies->second.byNumber.find(identity.number);
    return found == replies->second.byNumber.end() ? nullptr : &found->second;
}

// Removes departures whose retention has ended and the oldest beyond the limit.
void expireDepartures(ControlState &state)
{
    auto &departures = state.departures;
    std::erase_if(departures, [&state](const auto &item) {
        return item.second.departedAtMs + state.limits.departureRetentionMs <= state.wallTimeMs;
    });
    while (departures.size() > state.limits.departures) {
        departures.erase(std::min_element(departures.begin(), departures.end(),
                                          [](const auto &a, const auto &b) {
                                              return a.second.departedAtMs < b.second.departedAtMs;
                                          }));
    }
}

CommandReply recordDepartures(ControlState &state, const RecordDepartures &command)
{
    for (const DepartedEndpoint &departure : command.departures) {
        DepartedEndpoint &known = state.departures[departure.endpoint];
        if (known.endpoint.empty() || known.startedAtMs < departure.startedAtMs)
            known = departure;
    }
    expireDepartures(state);
    CommandReply reply;
    reply.version = state.config.version;
    return reply;
}

CommandReply recordGroups(ControlState &state, const RecordGroups &command)
{
    CommandReply reply;
    reply.version = state.config.version;
    if (applyRecordChanges(state.groups, command.changes))
        return reply;
    reply.code = ReplyCode::Invalid;
    reply.message = "a VM would be in two groups";
    return reply;
}

CommandReply applyNewProposal(ControlState &state, const Proposal &proposal, LogIndex index)
{
    if (const auto *command = std::get_if<RecordDepartures>(&proposal.command))
        return recordDepartures(state, *command);
    if (const auto *command = std::get_if<RecordGroups>(&proposal.command))
        return recordGroups(state, *command);
    if (!changesConfiguration(proposal.command)) {
        CommandReply reply = std::visit(KeyVisitor{state}, proposal.command);
        reply.version = state.config.version;
        return reply;
    }
    return applyToConfiguration(state.config, proposal.command, index);
}

CommandReply makeRefusal(const ControlState &state, ReplyCode code, std::string message)
{
    CommandReply reply;
    reply.code = code;
    reply.message = std::move(message);
    reply.version = state.config.version;
    return reply;
}

} // namespace

const char *toString(ReplyCode code)
{
    return ReplyCodeNames[static_cast<std::size_t>(code)];
}

CommandReply applyProposal(ControlState &state, const Proposal &proposal, LogIndex index)
{
    state.wallTimeMs = std::max(state.wallTimeMs, proposal.wallTimeMs);
    const CommandIdentity &identity = proposal.identity;
    const bool isReplyStored = !identity.operatorName.empty();
    if (isReplyStored) {
        const StoredReply *firstReply = findReply(state, identity);
        if (firstReply && firstReply->digest == identity.digest)
            return firstReply->reply;
        if (firstReply)
            return makeRefusal(state, ReplyCode::NumberReused,
                               "number " + std::to_string(identity.number)
                                       + " was used for another command");
    }
    CommandReply reply;
    if (proposal.expectedVersion && *proposal.expectedVersion != state.config.version) {
        reply = makeRefusal(state, ReplyCode::VersionMismatch,
                            "the configuration is at version "
                                    + std::to_string(state.config.version));
    } else {
        reply = applyNewProposal(state, proposal, index);
    }
    if (isReplyStored)
        storeReply(state, identity, reply);
    return reply;
}

} // namespace Trefoil
