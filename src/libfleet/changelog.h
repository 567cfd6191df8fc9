#pragma once

#include <cstdint>
#include <map>

// The order in which the rows of a table changed last. A reader that knows the number of the last
// change that it has seen can go on from there, whenever and however often it is interrupted.

namespace Trefoil {

template <class Key>
struct ChangeLog
{
    struct Change
    {
        Key key;

        // The change came from another node, which tells its own readers of it.
        bool isRelayed = false;
    };

    std::map<std::uint64_t, Change> changes; // by number
    std::map<Key, std::uint64_t> numbers;
    std::uint64_t last = 0;
};

template <class Key>
void forgetChange(ChangeLog<Key> &log, const Key &key)
{
    const auto found = log.numbers.find(key);
    if (found == log.numbers.end())
        return;
    log.changes.erase(found->second);
    log.numbers.erase(found);
}

template <class Key>
void recordChange(ChangeLog<Key> &log, const Key &key, bool isRelayed)
{
    forgetChange(log, key);
    log.numbers.emplace(key, ++log.last);
    log.changes.emplace(log.last, typename ChangeLog<Key>::Change{key, isRelayed});
}

} // namespace Trefoil
