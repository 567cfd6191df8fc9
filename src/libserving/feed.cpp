#include "libserving/feed.h"

#include "libserving/controlstate.h"
#include "libserving/peermessage.h"

namespace Trefoil {

void applyFeedItem(FeedState &feed, const FeedItem &item)
{
    if (item.index <= feed.config.version)
        return;
    if (const auto *seats = std::get_if<SeatSet>(&item.change))
        applySeats(feed.config, *seats, item.index);
    else
        applyToConfiguration(feed.config, std::get<Command>(item.change), item.index);
    feed.items.push_back(item);
    while (feed.items.size() > feed.maxItems) {
        feed.itemsFromVersion = feed.items.front().index;
        feed.items.pop_front();
    }
}

bool adoptConfiguration(FeedState &feed, Configuration config)
{
    if (config.version <= feed.config.version)
        return false;
    feed.config = std::move(config);
    feed.items.clear();
    feed.itemsFromVersion = feed.config.version;
    return true;
}

FeedReply answerFeedRequest(const FeedState &feed, const FeedRequest &request)
{
    FeedReply reply;
    reply.from = request.version;
    if (request.version >= feed.config.version)
        return reply;
    // No item contains the initial seats, so a new entry starts from a snapshot.
    if (request.version < feed.itemsFromVersion || request.version == 0) {
        reply.snapshot = encodeConfiguration(feed.config);
        return reply;
    }
    for (const FeedItem &item : feed.items) {
        if (item.index <= request.version)
            continue;
        reply.items.push_back(item);
        if (reply.items.size() >= feed.maxItemsPerReply)
            break;
    }
    return reply;
}

bool applyFeedReply(FeedState &feed, const FeedReply &reply)
{
    if (!reply.snapshot.empty())
        return adoptConfiguration(feed, decodeConfiguration(reply.snapshot));
    // The items apply only to the version that the request named.
    if (reply.from != feed.config.version || reply.items.empty())
        return false;
    for (const FeedItem &item : reply.items)
        applyFeedItem(feed, item);
    return true;
}

} // namespace Trefoil
