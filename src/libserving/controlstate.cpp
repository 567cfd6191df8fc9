#include "libserving/controlstate.h"

#include <algorithm>

namespace Trefoil {

namespace {

constexpr const char *CodeNames[] = {
        "accepted",    "invalid",     "not-found",    "version-mismatch", "number-reused",
        "key-granted", "key-running", "key-finished", "key-mismatch",     "table-full",
};

CommandReply keyReply(ReplyCode code, const KeyRecord *record = nullptr)
{
    CommandReply reply;
    reply.code = code;
    if (record)
        reply.key = record->result;
    return reply;
}

void expireKeys(ControlState &state)
{
    while (!state.keyOrder.empty()) {
        const auto found = state.keys.find(state.keyOrder.front());
        if (found == state.keys.end()) {
            state.keyOrder.pop_front();
            continue;
        }
        const KeyRecord &record = found->second;
        const bool old = record.claimedAtMs + state.limits.keyRetentionMs <= state.wallTimeMs;
        if (!old || record.result.outcome == KeyOutcome::Running)
            return;
        state.keys.erase(found);
        state.keyOrder.pop_front();
    }
}

// Key commands, applied at log order.
struct KeyVisitor
{
    ControlState &state;

    CommandReply operator()(const ClaimKey &c) const
    {
        expireKeys(state);
        const auto found = state.keys.find(c.key);
        if (found == state.keys.end())
            return claimNew(c);
        KeyRecord &record = found->second;
        if (record.result.outcome == KeyOutcome::Released)
            return claimReleased(c, record);
        if (record.digest != c.digest) {
            rememberRefusal(record, c.owner);
            return keyReply(ReplyCode::KeyMismatch);
        }
        if (record.result.outcome == KeyOutcome::Running && record.result.owner == c.owner)
            return keyReply(ReplyCode::KeyGranted, &record);
        rememberRefusal(record, c.owner);
        const bool running = record.result.outcome == KeyOutcome::Running;
        return keyReply(running ? ReplyCode::KeyRunning : ReplyCode::KeyFinished, &record);
    }

    CommandReply operator()(const FinishKey &c) const
    {
        const auto found = state.keys.find(c.key);
        if (found == state.keys.end() || found->second.result.owner != c.owner)
            return keyReply(ReplyCode::NotFound);
        KeyResult &result = found->second.result;
        // An unknown outcome may still be resolved by the execution that holds the key.
        const bool open =
                result.outcome == KeyOutcome::Running || result.outcome == KeyOutcome::Unknown;
        if (!open)
            return keyReply(ReplyCode::KeyFinished, &found->second);
        state.runningKeys.erase(c.key);
        result.outcome = c.outcome;
        result.status = c.status;
        result.contentType = c.contentType;
        if (c.body.size() <= state.limits.keyBodyBytes)
            result.body = c.body;
        return keyReply(ReplyCode::Accepted, &found->second);
    }

    CommandReply operator()(const ReleaseKey &c) const
    {
        const auto found = state.keys.find(c.key);
        if (found == state.keys.end())
            return addReleased(c);
        KeyResult &result = found->second.result;
        if (result.owner != c.owner) {
            // The claim may still be under way; it must not be granted any more.
            rememberRefusal(found->second, c.owner);
            return keyReply(ReplyCode::NotFound);
        }
        if (result.outcome != KeyOutcome::Running && result.outcome != KeyOutcome::Unknown)
            return keyReply(ReplyCode::KeyFinished, &found->second);
        state.runningKeys.erase(c.key);
        result.outcome = KeyOutcome::Released;
        return keyReply(ReplyCode::Accepted);
    }

    CommandReply operator()(const AbandonKeys &c) const
    {
        std::erase_if(state.runningKeys, [&](const std::string &key) {
            KeyResult &result = state.keys.at(key).result;
            const bool gone =
                    result.owner.entry == c.entry && result.owner.incarnation < c.belowIncarnation;
            if (gone)
                result.outcome = KeyOutcome::Unknown;
            return gone;
        });
        return keyReply(ReplyCode::Accepted);
    }

    template <class Other>
    CommandReply operator()(const Other &) const
    {
        return keyReply(ReplyCode::Invalid);
    }

private:
    CommandReply claimNew(const ClaimKey &c) const
    {
        if (state.keys.size() >= state.limits.keys)
            return keyReply(ReplyCode::TableFull);
        KeyRecord record;
        record.digest = c.digest;
        record.claimedAtMs = state.wallTimeMs;
        record.result.owner = c.owner;
        state.keys[c.key] = record;
        state.keyOrder.push_back(c.key);
        state.runningKeys.insert(c.key);
        return keyReply(ReplyCode::KeyGranted, &record);
    }

    static bool wasRefused(const KeyRecord &record, const KeyOwner &owner)
    {
        return std::find(record.refused.begin(), record.refused.end(), owner)
               != record.refused.end();
    }

    void rememberRefusal(KeyRecord &record, const KeyOwner &owner) const
    {
        if (wasRefused(record, owner))
            return;
        record.refused.push_back(owner);
        if (record.refused.size() > state.limits.refusedOwners)
            record.refused.pop_front();
    }

    // A claim of the owner that gave the key back is a late copy and must not hold it again.
    CommandReply claimReleased(const ClaimKey &c, KeyRecord &record) const
    {
        if (record.result.owner == c.owner || wasRefused(record, c.owner))
            return keyReply(ReplyCode::Invalid);
        rememberRefusal(record, record.result.owner);
        record.digest = c.digest;
        record.result = KeyResult{};
        record.result.owner = c.owner;
        state.runningKeys.insert(c.key);
        return keyReply(ReplyCode::KeyGranted, &record);
    }

    // Remembers a release that overtook its claim.
    CommandReply addReleased(const ReleaseKey &c) const
    {
        if (state.keys.size() >= state.limits.keys)
            return keyReply(ReplyCode::TableFull);
        KeyRecord record;
        record.claimedAtMs = state.wallTimeMs;
        record.result.owner = c.owner;
        record.result.outcome = KeyOutcome::Released;
        state.keys[c.key] = record;
        state.keyOrder.push_back(c.key);
        return keyReply(ReplyCode::Accepted);
    }
};

void dropOldestReplies(ControlState &state, OperatorReplies &replies)
{
    while (replies.order.size() > state.limits.repliesPerOperator) {
        replies.byNumber.erase(replies.order.front());
        replies.order.pop_front();
    }
    while (state.operatorOrder.size() > state.limits.operators) {
        state.replies.erase(state.operatorOrder.front());
        state.operatorOrder.pop_front();
    }
}

void remember(ControlState &state, const CommandIdentity &identity, const CommandReply &reply)
{
    if (!state.replies.contains(identity.operatorName))
        state.operatorOrder.push_back(identity.operatorName);
    OperatorReplies &replies = state.replies[identity.operatorName];
    replies.byNumber[identity.number] = {identity.digest, reply};
    replies.order.push_back(identity.number);
    dropOldestReplies(state, replies);
}

const RememberedReply *findReply(const ControlState &state, const CommandIdentity &identity)
{
    const auto replies = state.replies.find(identity.operatorName);
    if (replies == state.replies.end())
        return nullptr;
    const auto found = replies->second.byNumber.find(identity.number);
    return found == replies->second.byNumber.end() ? nullptr : &found->second;
}

CommandReply applyFresh(ControlState &state, const Proposal &proposal, LogIndex index)
{
    if (!changesConfiguration(proposal.command)) {
        CommandReply reply = std::visit(KeyVisitor{state}, proposal.command);
        reply.version = state.config.version;
        return reply;
    }
    return applyToConfiguration(state.config, proposal.command, index);
}

CommandReply refuseProposal(const ControlState &state, ReplyCode code, std::string message)
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
    return CodeNames[static_cast<std::size_t>(code)];
}

CommandReply applyProposal(ControlState &state, const Proposal &proposal, LogIndex index)
{
    state.wallTimeMs = std::max(state.wallTimeMs, proposal.wallTimeMs);
    const CommandIdentity &identity = proposal.identity;
    const bool remembered = !identity.operatorName.empty();
    if (remembered) {
        const RememberedReply *first = findReply(state, identity);
        if (first && first->digest == identity.digest)
            return first->reply;
        if (first)
            return refuseProposal(state, ReplyCode::NumberReused,
                                  "number " + std::to_string(identity.number)
                                          + " was used for another command");
    }
    CommandReply reply;
    if (proposal.expectedVersion && *proposal.expectedVersion != state.config.version) {
        reply = refuseProposal(state, ReplyCode::VersionMismatch,
                               "the configuration is at version "
                                       + std::to_string(state.config.version));
    } else {
        reply = applyFresh(state, proposal, index);
    }
    if (remembered)
        remember(state, identity, reply);
    return reply;
}

} // namespace Trefoil
