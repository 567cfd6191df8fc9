#pragma once

#include "libserving/commands.h"

#include <deque>
#include <string>
#include <variant>
#include <vector>

// The configuration as an entry holds it, and the recent changes that it passes on to its peers.
// Any entry can serve any other one; versions never go back.

namespace Trefoil {

// One accepted change of the configuration.
struct FeedItem
{
    LogIndex index = 0;
    std::variant<Command, SeatSet> change;
};

// Asks for the changes after `version`.
struct FeedRequest
{
    ConfigVersion version = 0;
    bool wantsMembers = false;
    std::uint64_t membersDigest = 0; // of the list that the asker holds
};

struct FeedReply
{
    ConfigVersion from = 0; // version that `items` follow
    std::vector<FeedItem> items;
    std::string snapshot; // encoded configuration, when the items do not reach back
    std::vector<Member> members;
};

struct FeedState
{
    Configuration config;
    std::deque<FeedItem> items; // changes after itemsFrom, oldest first
    ConfigVersion itemsFrom = 0;
    std::size_t maxItems = 4096;
    std::size_t maxItemsPerReply = 512;
};

// Applies the change that follows the held version. Items that are already applied are ignored.
void applyFeedItem(FeedState &feed, const FeedItem &item);

// Replaces the configuration by a newer one. Returns false for one that is not newer.
bool adoptConfiguration(FeedState &feed, Configuration config);

FeedReply answerFeed(const FeedState &feed, const FeedRequest &request);

// Returns true when the held version advanced. Throws std::exception on a damaged snapshot.
bool applyFeedReply(FeedState &feed, const FeedReply &reply);

} // namespace Trefoil
