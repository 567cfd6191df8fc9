#include "libnode/node.h"

#include "libnode/nodeinternal.h"

#include <xxhash.h>

#include <algorithm>

namespace Trefoil {

using namespace NodeInternal;

namespace {

constexpr auto OperatorCallTimeout = std::chrono::seconds(10);
constexpr auto InForcePollInterval = std::chrono::milliseconds(200);

Cell integerCell(std::uint64_t value)
{
    return static_cast<std::int64_t>(value);
}

std::string join(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words)
        text += (text.empty() ? "" : " ") + word;
    return text;
}

Row makeGroupRow(const NodeState &node, const ServingGroup &group, const std::string &state)
{
    const Vm *first = findVm(node.feed.config, group.vms.front());
    std::uint32_t running = 0;
    const auto pool = node.dispatch.pools.find(group.deployment);
    if (pool != node.dispatch.pools.end()) {
        const auto target = pool->second.targets.find(std::to_string(group.id));
        if (target != pool->second.targets.end())
            running = target->second.inFlight;
    }
    return {integerCell(group.id),
            group.deployment,
            state,
            group.version,
            first ? first->fabric : std::string(),
            first ? first->domain : std::string(),
            group.dispatcher,
            join(group.vms),
            integerCell(running),
            integerCell(first ? first->slots : 0)};
}

std::vector<Row> collectGroupRows(const NodeState &node)
{
    std::vector<Row> rows;
    for (const auto &[id, group] : node.feed.config.groups) {
        const auto gate = node.gates.find(id);
        if (group.dispatcher == node.settings.self.entry && gate != node.gates.end())
            rows.push_back(makeGroupRow(node, group, toString(gate->second)));
    }
    return rows;
}

Row makeVmRow(const NodeState &node, const Vm &vm, const std::string &state)
{
    const ServingGroup *group = groupOfVm(node.feed.config, vm.id);
    return {vm.id,
            std::string(toString(vm.role)),
            vm.service,
            state,
            std::string(toString(vm.status)),
            integerCell(group ? group->id : 0),
            vm.domain,
            vm.fabric,
            integerCell(vm.accelerators)};
}

std::vector<Row> collectVmRows(const NodeState &node, TimePoint now)
{
    std::vector<Row> rows;
    for (const auto &[id, report] : node.watch.reports) {
        const Vm *vm = findVm(node.feed.config, id);
        const bool isRecent = now - report.receivedAt <= node.settings.gate.heartbeatBound;
        const bool isCurrent = vm && isRecent && report.incarnation == vm->incarnation;
        // Only the current watcher returns the row of a VM, since a previous watcher may still hold
        // a recent report.
        if (isCurrent && findWatcher(node, id) == node.settings.self.entry)
            rows.push_back(makeVmRow(node, *vm, toString(report.state)));
    }
    return rows;
}

std::vector<Row> collectWorkspaceRows(const NodeState &node)
{
    std::map<WorkspaceId, Row> byWorkspace;
    const auto findOrAddRow = [&](const WorkspaceId &id) -> Row & {
        const auto known = node.feed.config.workspaces.find(id);
        const double weight = known == node.feed.config.workspaces.end() ? 0 : known->second.weight;
        return byWorkspace
                .try_emplace(id,
                             Row{id, weight, 0.0, integerCell(0), integerCell(0), integerCell(0),
                                 integerCell(0), integerCell(0), DurationHistogram{}})
                .first->second;
    };
    for (const auto &[id, workspace] : node.feed.config.workspaces)
        findOrAddRow(id);
    for (const auto &[poolId, pool] : node.dispatch.pools) {
        for (const auto &[id, queue] : pool.queue.workspaces) {
            Row &row = findOrAddRow(id);
            row[2] = std::get<double>(row[2]) + queue.chargedWork;
            row[3] = std::get<std::int64_t>(row[3]) + static_cast<std::int64_t>(queue.queuedCount);
        }
    }
    for (const auto &[id, counters] : node.counters) {
        Row &row = findOrAddRow(id);
        row[4] = integerCell(counters.done);
        row[5] = integerCell(counters.notRun);
        row[6] = integerCell(counters.unknown);
        row[7] = integerCell(counters.failed);
    }
    for (const auto &[id, waits] : node.firstByteTimes)
        findOrAddRow(id)[8] = waits;
    std::vector<Row> rows;
    for (auto &[id, row] : byWorkspace)
        rows.push_back(std::move(row));
    return rows;
}

std::vector<Row> collectDeploymentRows(const NodeState &node)
{
    std::vector<Row> rows;
    for (const auto &[id, deployment] : node.feed.config.deployments) {
        const auto groupCount = std::count_if(
                node.feed.config.groups.begin(), node.feed.config.groups.end(),
                [&id = id](const auto &item) { return item.second.deployment == id; });
        rows.push_back({id, deployment.model, deployment.version, deployment.placement,
                        integerCell(deployment.groups), static_cast<std::int64_t>(groupCount),
                        integerCell(deployment.vmsPerGroup)});
    }
    return rows;
}

const char *statusText(MemberStatus status)
{
    constexpr const char *names[] = {"alive", "suspect", "dead", "left"};
    return names[static_cast<std::size_t>(status)];
}

std::vector<Row> collectEntryRows(const NodeState &node)
{
    std::vector<Row> rows;
    for (const Member &member : allMembers(node.membership)) {
        const bool draining =
                member.isDraining || node.feed.config.drainingEntries.contains(member.entry);
        const auto version = node.peerVersions.find(member.entry);
        ConfigVersion applied = version == node.peerVersions.end() ? 0 : version->second;
        if (member.entry == node.settings.self.entry)
            applied = node.feed.config.version;
        rows.push_back({member.entry, std::string(statusText(member.status)), member.domain,
                        member.callerAddress, std::string(draining ? "yes" : "no"),
                        integerCell(applied)});
    }
    return rows;
}

std::vector<Row> collectSeatRows(const NodeState &node)
{
    std::vector<Row> rows;
    for (const Seat &seat : node.feed.config.seats) {
        const bool isLeader =
                node.seat ? node.seat->raft.leader == seat.id : node.client.leader == seat.entry;
        rows.push_back({std::to_string(seat.id), seat.entry,
                        std::string(seat.isVoter ? "yes" : "no"),
                        std::string(isLeader ? "leader" : "follower")});
    }
    return rows;
}

std::vector<Row> collectVersionRows(const NodeState &node, TimePoint now)
{
    const TimePoint since = confirmedUpTo(node.freshness, node.feed.config.seats);
    const auto age = since == TimePoint{}
                             ? std::chrono::milliseconds(-1)
                             : std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
    return {{node.settings.self.entry, integerCell(node.feed.config.version),
             static_cast<std::int64_t>(age.count())}};
}

std::vector<Row> collectDowntimeRows(const NodeState &node)
{
    std::vector<Row> rows;
    for (const auto &[id, account] : node.leader.downtime)
        rows.push_back({id, account.groupDownMinutes, account.strandedAcceleratorMinutes});
    return rows;
}

std::vector<Row> collectLocalRows(const NodeState &node, const std::string &table, TimePoint now)
{
    if (table == "groups")
        return collectGroupRows(node);
    if (table == "vms")
        return collectVmRows(node, now);
    if (table == "workspaces")
        return collectWorkspaceRows(node);
    if (table == "deployments")
        return collectDeploymentRows(node);
    if (table == "entries")
        return collectEntryRows(node);
    if (table == "seats")
        return collectSeatRows(node);
    if (table == "versions")
        return collectVersionRows(node, now);
    return collectDowntimeRows(node);
}

// Returns rows for the groups whose dispatcher did not reply and for the VMs that no entry
// reported.
std::vector<Row> makeUnreportedRows(const NodeState &node, const std::string &table,
                                    const std::vector<Row> &reported)
{
    std::set<std::string> seen;
    for (const Row &row : reported)
        seen.insert(toText(row[0]));
    std::vector<Row> rows;
    if (table == "groups") {
        for (const auto &[id, group] : node.feed.config.groups) {
            if (!seen.contains(std::to_string(id)))
                rows.push_back(makeGroupRow(node, group, "unreachable"));
        }
    }
    if (table == "vms") {
        for (const auto &[id, vm] : node.feed.config.vms) {
            if (!seen.contains(id))
                rows.push_back(makeVmRow(node, vm, "silent"));
        }
    }
    return rows;
}

// Returns true for the tables that also list groups or VMs that no entry reported. These are known
// only after all rows have arrived, so the filter and the grouping of these two tables run at the
// entry that received the query.
bool needsUnreportedRows(const std::string &table)
{
    return table == "groups" || table == "vms";
}

ShowQuery makePartialQuery(const ShowQuery &query)
{
    ShowQuery partial = query;
    if (needsUnreportedRows(query.table)) {
        partial.where.clear();
        partial.groupBy.clear();
    }
    return partial;
}

void answerQuery(NodeState &node, PendingQuery &pending, NodeOutput &out)
{
    OperatorReply reply;
    reply.session = pending.session;
    reply.isOk = true;
    reply.table = pending.query.table;
    reply.version = node.feed.config.version;
    reply.missing.assign(pending.awaitedEntries.begin(), pending.awaitedEntries.end());
    std::vector<Row> rows = std::move(pending.rows);
    if (needsUnreportedRows(pending.query.table)) {
        for (Row &row : makeUnreportedRows(node, pending.query.table, rows))
            rows.push_back(std::move(row));
        rows = evaluateQuery(pending.query, rows);
    }
    reply.rows = mergePartials(pending.query, std::move(rows));
    out.operatorReplies.push_back(std::move(reply));
}

std::vector<EntryId> findLaggingEntries(const PendingQuery &pending)
{
    std::vector<EntryId> lagging(pending.awaitedEntries.begin(), pending.awaitedEntries.end());
    for (const Row &row : pending.rows) {
        if (std::get<std::int64_t>(row[1]) < static_cast<std::int64_t>(pending.awaitedVersion))
            lagging.push_back(toText(row[0]));
    }
    return lagging;
}

void startQuery(NodeState &node, PendingQuery pending, TimePoint now, NodeOutput &out)
{
    const std::uint64_t id = node.nextQueryId++;
    pending.deadline = now + node.settings.queryTimeout;
    const ShowQuery partial = makePartialQuery(pending.query);
    pending.rows = evaluateQuery(partial, collectLocalRows(node, pending.query.table, now));
    for (const auto &[entry, member] : node.membership.members) {
        if (member.info.status > MemberStatus::Suspect)
            continue;
        pending.awaitedEntries.insert(entry);
        out.peers.emplace_back(entry, QueryCall{id, partial});
    }
    node.pendingQueries.emplace(id, std::move(pending));
}

// Ends a query after all rows have arrived or its time is up. Returns false if the query must be
// repeated because entries have not applied the awaited version.
bool finishQuery(NodeState &node, PendingQuery &pending, TimePoint now, NodeOutput &out)
{
    if (pending.awaitedVersion == 0) {
        answerQuery(node, pending, out);
        return true;
    }
    const std::vector<EntryId> lagging = findLaggingEntries(pending);
    if (lagging.empty() || now >= pending.inForceDeadline) {
        pending.reply.inForce = lagging.empty();
        pending.reply.missing = lagging;
        out.operatorReplies.push_back(std::move(pending.reply));
        return true;
    }
    return false;
}

void replyWithError(const OperatorRequest &request, const std::string &code,
                    const std::string &message, std::size_t column, NodeOutput &out)
{
    OperatorReply reply;
    reply.session = request.session;
    reply.code = code;
    reply.message = message;
    reply.column = column;
    out.operatorReplies.push_back(std::move(reply));
}

std::string describeGroup(const NodeState &node, GroupId id, TimePoint now)
{
    const Configuration &config = node.feed.config;
    const auto found = config.groups.find(id);
    if (found == config.groups.end())
        return "There is no group " + std::to_string(id)
               + "; it was ended, or the number is of another kind.\n";
    const ServingGroup &group = found->second;
    std::string text = "Group " + std::to_string(id) + " serves deployment " + group.deployment
                       + " version " + group.version + ".\n";
    text += "Its dispatcher is entry " + group.dispatcher + " since configuration version "
            + std::to_string(group.dispatcherSince) + ".\n";
    if (group.dispatcher != node.settings.self.entry)
        return text + "Ask entry " + group.dispatcher + " for the state of its gate.\n";
    const auto gate = node.gates.find(id);
    if (gate != node.gates.end())
        text += std::string("Its gate is ") + toString(gate->second) + ".\n";
    for (const VmId &vm : group.vms) {
        const auto report = node.watch.reports.find(vm);
        if (report == node.watch.reports.end()) {
            text += "VM " + vm + " does not report to this entry.\n";
            continue;
        }
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                now - report->second.receivedAt);
        text += "VM " + vm + " reported " + std::to_string(age.count())
                + " ms ago: " + toString(report->second.state) + " for group "
                + std::to_string(report->second.group) + ".\n";
    }
    const TimePoint handover = handoverEnd(node.handover, group);
    if (now < handover) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(handover - now);
        text += "It waits " + std::to_string(left.count())
                + " ms for an earlier dispatcher to stop.\n";
    }
    return text;
}

// Executes a statement of an operator.
struct StatementVisitor
{
    NodeState &node;
    const OperatorRequest &request;
    TimePoint now;
    NodeOutput &out;

    void operator()(const ShowQuery &query) const
    {
        PendingQuery pending;
        pending.session = request.session;
        pending.query = query;
        if (findTable(query.table)->isDistributed) {
            startQuery(node, std::move(pending), now, out);
            return;
        }
        pending.rows = evaluateQuery(query, collectLocalRows(node, query.table, now));
        answerQuery(node, pending, out);
    }

    void operator()(const ExplainGroup &explain) const
    {
        replyWithText(describeGroup(node, explain.group, now));
    }

    void operator()(const Help &) const { replyWithText(helpText()); }

    void operator()(const Command &command) const
    {
        const auto *deployment = std::get_if<SetDeployment>(&command);
        if (deployment && deployment->placement
            && !PlacementPolicies::find(*deployment->placement)) {
            replyWithError(request, "invalid",
                           "unknown placement policy '" + *deployment->placement
                                   + "'; known: " + join(PlacementPolicies::names()),
                           0, out);
            return;
        }
        ControlCall call = makeCall();
        call.message.proposal.command = command;
        call.message.proposal.identity = {request.operatorName, request.number,
                                          XXH3_64bits(request.text.data(), request.text.size())};
        call.message.proposal.expectedVersion = request.expectedVersion;
        call.message.proposal.wallTimeMs = request.wallTimeMs;
        startControlCall(node, std::move(call), now, out);
    }

    void operator()(const AddSeat &add) const
    {
        ControlCall call = makeCall();
        call.message.addSeat = add.entry;
        if (add.entry == node.settings.self.entry) {
            addOwnSeat(std::move(call));
            return;
        }
        if (!isReachable(node.membership, add.entry)) {
            replyWithError(request, "not-found", "entry '" + add.entry + "' is not a member", 0,
                           out);
            return;
        }
        const std::uint64_t id = node.nextQueryId++;
        node.pendingSeatAdditions[id] = {std::move(call), add.entry};
        out.peers.emplace_back(add.entry, SeatQuery{id});
    }

    void operator()(const RemoveSeat &remove) const
    {
        ControlCall call = makeCall();
        call.message.removeSeat = remove.seat;
        startControlCall(node, std::move(call), now, out);
    }

private:
    ControlCall makeCall() const
    {
        ControlCall call;
        call.purpose = CallPurpose::Operator;
        call.correlationId = request.session;
        call.deadline = now + OperatorCallTimeout;
        if (request.inForceTimeout > Duration{})
            node.inForceDeadlines[request.session] = now + request.inForceTimeout;
        return call;
    }

    void addOwnSeat(ControlCall call) const
    {
        if (!node.seat) {
            replyWithError(request, "invalid", "the entry has no data folder for a seat", 0, out);
            return;
        }
        call.message.proposal.identity.digest = node.seat->raft.self;
        startControlCall(node, std::move(call), now, out);
    }

    void replyWithText(std::string text) const
    {
        OperatorReply reply;
        reply.session = request.session;
        reply.isOk = true;
        reply.text = std::move(text);
        out.operatorReplies.push_back(std::move(reply));
    }
};

} // namespace

void handleOperatorRequest(NodeState &node, const OperatorRequest &request, TimePoint now,
                           NodeOutput &out)
{
    try {
        const Statement statement = parseStatement(request.text);
        if (changesControlState(statement) && request.operatorName.empty()) {
            replyWithError(request, "invalid", "a change needs the name of its operator", 0, out);
            return;
        }
        std::visit(StatementVisitor{node, request, now, out}, statement);
    } catch (const LanguageError &error) {
        replyWithError(request, "syntax", error.what(), error.column(), out);
    }
}

namespace NodeInternal {

void answerOperatorCall(NodeState &node, const ControlCall &call, const CommandReply *reply,
                        TimePoint now, NodeOutput &out)
{
    OperatorReply answer;
    answer.session = call.correlationId;
    const auto wait = node.inForceDeadlines.find(call.correlationId);
    const TimePoint inForceDeadline =
            wait == node.inForceDeadlines.end() ? TimePoint{} : wait->second;
    if (wait != node.inForceDeadlines.end())
        node.inForceDeadlines.erase(wait);
    if (!reply) {
        answer.code = "timeout";
        answer.message = "the control state did not answer; send the command again with the "
                         "same number to learn its outcome";
        out.operatorReplies.push_back(std::move(answer));
        return;
    }
    answer.isOk = reply->isAccepted();
    answer.code = toString(reply->code);
    answer.message = reply->message;
    answer.version = reply->version;
    if (!answer.isOk || inForceDeadline == TimePoint{}) {
        out.operatorReplies.push_back(std::move(answer));
        return;
    }
    PendingQuery pending;
    pending.session = call.correlationId;
    pending.query.table = "versions";
    pending.awaitedVersion = reply->version;
    pending.inForceDeadline = inForceDeadline;
    pending.reply = std::move(answer);
    startQuery(node, std::move(pending), now, out);
}

void handleSeatReply(NodeState &node, const EntryId &from, const SeatReply &reply, TimePoint now,
                     NodeOutput &out)
{
    const auto found = node.pendingSeatAdditions.find(reply.call);
    if (found == node.pendingSeatAdditions.end() || found->second.entry != from)
        return;
    ControlCall call = std::move(found->second.call);
    node.pendingSeatAdditions.erase(found);
    if (reply.seat == NoSeat) {
        CommandReply refused;
        refused.code = ReplyCode::Invalid;
        refused.message = "the entry has no data folder for a seat";
        answerOperatorCall(node, call, &refused, now, out);
        return;
    }
    call.message.proposal.identity.digest = reply.seat;
    startControlCall(node, std::move(call), now, out);
}

void handleQueryCall(NodeState &node, const EntryId &from, const QueryCall &call, TimePoint now,
                     NodeOutput &out)
{
    QueryReply reply;
    reply.call = call.call;
    reply.rows = evaluateQuery(call.query, collectLocalRows(node, call.query.table, now));
    out.peers.emplace_back(from, std::move(reply));
}

void handleQueryReply(NodeState &node, const EntryId &from, const QueryReply &reply, TimePoint now,
                      NodeOutput &out)
{
    const auto found = node.pendingQueries.find(reply.call);
    if (found == node.pendingQueries.end() || found->second.awaitedEntries.erase(from) == 0)
        return;
    PendingQuery &pending = found->second;
    pending.rows.insert(pending.rows.end(), reply.rows.begin(), reply.rows.end());
    if (pending.awaitedEntries.empty() && finishQuery(node, pending, now, out))
        node.pendingQueries.erase(found);
}

void tickQueries(NodeState &node, TimePoint now, NodeOutput &out)
{
    std::vector<std::uint64_t> due;
    for (const auto &[id, pending] : node.pendingQueries) {
        const bool isPollDue =
                pending.awaitedVersion > 0
                && now >= pending.deadline - node.settings.queryTimeout + InForcePollInterval;
        if (now >= pending.deadline || (isPollDue && pending.awaitedEntries.empty()))
            due.push_back(id);
    }
    for (std::uint64_t id : due) {
        PendingQuery pending = std::move(node.pendingQueries.at(id));
        node.pendingQueries.erase(id);
        if (finishQuery(node, pending, now, out))
            continue;
        pending.awaitedEntries.clear();
        startQuery(node, std::move(pending), now, out);
    }
    std::vector<std::uint64_t> overdue;
    for (const auto &[id, add] : node.pendingSeatAdditions) {
        if (now >= add.call.deadline)
            overdue.push_back(id);
    }
    for (std::uint64_t id : overdue) {
        answerOperatorCall(node, node.pendingSeatAdditions.at(id).call, nullptr, now, out);
        node.pendingSeatAdditions.erase(id);
    }
}

} // namespace NodeInternal

} // namespace Trefoil
