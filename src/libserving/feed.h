#pragma once

#include "libserving/commands.h"

#include <deque>
#include <string>
#include <variant>
#include <vector>

// Replication of the configuration to all entries. An entry holds a copy of the configuration and
// the recent changes, from which it answers other entries. The version of a copy never goes back.

namespace Trefoil {

// An accepted change of the configuration and its log index.
struct FeedItem
{
    LogIndex index = 0;
    std::variant<Command, SeatSet> change;
};

// Requests the changes after `version`, and the member list if it differs from the sender's list.
struct FeedRequest
{
    ConfigVersion version = 0;
    bool wantsMembers = false;
    // The digest of the sender's member list.
    std::uint64_t membersDigest = 0;
};

struct FeedReply
{
    // The version that the items follow.
    ConfigVersion from = 0;
    std::vector<FeedItem> items;
    // The encoded configuration, sent instead of items when these do not reach back to `from`.
    std::string snapshot;
    std::vector<Member> members;
};

struct FeedState
{
    Configuration config;
    // The recent changes, oldest first. The first one follows itemsFromVersion.
    std::deque<FeedItem> items;
    ConfigVersion itemsFromVersion = 0;
    std::size_t maxItems = 4096;
    std::size_t maxItemsPerReply = 512;
};

// Applies the next change to the configuration. Ignores a change that is already applied.
void applyFeedItem(FeedState &feed, const FeedItem &item);

// Replaces the configuration by a newer one. Returns false if the given one is not newer.
bool adoptConfiguration(FeedState &feed, Configuration config);

// Returns the requested changes, or a snapshot when the stored items do not reach back to the
// requested version. Does not set the members of the reply.
FeedReply answerFeedRequest(const FeedState &feed, const FeedRequest &request);

// Applies the changes or the snapshot of a reply. Returns true when the version advanced. Throws
// std::exception on a damaged snapshot.
bool applyFeedReply(FeedState &feed, const FeedReply &reply);

} // namespace Trefoil
