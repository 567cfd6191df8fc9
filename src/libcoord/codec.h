#pragma once

#include "libcoord/raft.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/memory.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <string>
#include <string_view>

// cereal serialization of the replicated log's types. Only source files that encode include it.

namespace Trefoil {

template <class T>
std::string encode(const T &value)
{
    std::ostringstream out(std::ios::binary);
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(value);
    }
    return std::move(out).str();
}

// Throws std::exception when `bytes` is not an encoding of T.
template <class T>
T decode(std::string_view bytes)
{
    std::istringstream in(std::string(bytes), std::ios::binary);
    cereal::PortableBinaryInputArchive archive(in);
    T value;
    archive(value);
    return value;
}

template <class Archive>
void serialize(Archive &archive, Seat &seat)
{
    archive(seat.id, seat.entry, seat.isVoter);
}

template <class Archive>
void serialize(Archive &archive, LogEntry &entry)
{
    archive(entry.index, entry.term, entry.kind, entry.payload, entry.seats);
}

template <class Archive>
void serialize(Archive &archive, HardState &state)
{
    archive(state.term, state.votedFor);
}

template <class Archive>
void serialize(Archive &archive, RaftMessage &message)
{
    archive(message.kind, message.from, message.to, message.term, message.index, message.logTerm,
            message.commit, message.round, message.granted, message.entries, message.seats,
            message.offset, message.chunk, message.isLastChunk);
}

} // namespace Trefoil
