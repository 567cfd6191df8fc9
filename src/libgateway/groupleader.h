#pragma once

#include "libfleet/fleet.h"
#include "libgateway/endpointreports.h"
#include "libserving/commands.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <optional>

namespace Trefoil {

// Runs the group planner of a control VM that leads: commits changes of groups in the replicated
// log and sends the orders to the engines.
class GroupLeader
{
public:
    struct Handlers
    {
        // Appends changes to the log and later calls the function, whether they were applied or
        // not. Returns false when this seat does not lead.
        std::function<bool(RecordGroups, std::function<void(bool isApplied)>)> propose;

        // Called when the planner should run soon, and when groups may form at once.
        std::function<void()> onChanged;
        std::function<void()> onRecorded;
    };

    GroupLeader(boost::asio::io_context &context, const Dialect &dialect, EndpointReports &reports,
                Handlers handlers, ChannelLimits limits);

    // Begins to lead. A leader that regains its lease in the same term keeps its planner, because
    // epochs must not restart within a term.
    void lead(const GroupPlannerOptions &options, std::uint64_t term, const GroupRecords &records,
              TimePoint now);

    // Advances the groups, proposes what changes in the log and sends the orders that are due.
    void plan(const ServiceConfiguration &config, TimePoint now);

    // Planner of the latest term that this control VM led, or null.
    GroupPlanner *planner() { return planner_ ? &*planner_ : nullptr; }
    const GroupPlanner *planner() const { return planner_ ? &*planner_ : nullptr; }

    std::uint64_t ordersSent() const { return ordersSent_; }
    std::uint64_t ordersUnanswered() const { return ordersUnanswered_; }

private:
    void proposeChanges();
    void handleProposed(std::uint64_t term, const GroupRecordChanges &changes, bool isApplied);
    boost::asio::awaitable<void> sendOrder(GroupOrder order);

    boost::asio::io_context &context_;
    const Dialect &dialect_;
    EndpointReports &reports_;
    Handlers handlers_;
    ChannelLimits limits_;
    std::optional<GroupPlanner> planner_;
    std::uint64_t ordersSent_ = 0;
    std::uint64_t ordersUnanswered_ = 0;
};

} // namespace Trefoil
