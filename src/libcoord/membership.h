#pragma once

#include "libcoord/freshness.h"

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

// Membership of the entries: periodic probes with indirect probes, suspicion with refutation by
// incarnation, and updates that travel on the probes. The probes also carry configuration versions
// and seat samples. Pure: no I/O, no clock.

namespace Trefoil {

using EntryId = std::string;

enum class MemberStatus : std::uint8_t { Alive, Suspect, Dead, Left };

struct Member
{
    EntryId entry;
    std::string peerAddress;       // IP:port, UDP and TCP
    std::string callerAddress;     // IP:port, HTTP
    std::string domain;            // failure domain
    std::uint64_t incarnation = 0; // raised by the member itself to refute a suspicion
    std::uint64_t process = 0;     // start of the member's process, larger for later ones
    MemberStatus status = MemberStatus::Alive;
    bool draining = false;

    bool operator==(const Member &) const = default;
};

// A seat sample relative to the sender's clock.
struct SeatAge
{
    SeatId seat = NoSeat;
    std::uint32_t ageMs = 0;
    ConfigVersion version = 0;
};

enum class GossipKind : std::uint8_t { Ping, Ack, PingRequest };

struct GossipMessage
{
    GossipKind kind = GossipKind::Ping;
    std::uint64_t sequence = 0;
    EntryId from;
    EntryId target;            // member a PingRequest asks about
    ConfigVersion version = 0; // configuration version applied by the sender
    std::vector<Member> updates;
    std::vector<SeatAge> seatAges; // acks only: their age is bounded by the probe's round trip
};

struct GossipSend
{
    std::string address;
    GossipMessage message;
};

struct MembershipOptions
{
    Duration probePeriod = std::chrono::milliseconds(250);
    Duration probeTimeout = std::chrono::milliseconds(100);
    Duration suspicionTimeout = std::chrono::milliseconds(1500);
    Duration forgetTimeout = std::chrono::minutes(10); // dead members are remembered this long
    std::size_t indirectProbes = 3;
    std::size_t maxUpdatesPerMessage = 6;
};

struct KnownMember
{
    Member info;
    TimePoint statusSince{};
    std::uint32_t transmissions = 0; // times the current information was sent
};

struct OutstandingProbe
{
    EntryId target;
    TimePoint sentAt{};
    TimePoint deadline{};
    bool indirect = false;
    std::string relayTo; // address that asked for this probe, empty for an own probe
    std::uint64_t relaySequence = 0;
};

struct MembershipState
{
    MembershipOptions options;
    Member self;
    std::vector<std::string> seeds;
    std::mt19937_64 rng;
    std::map<EntryId, KnownMember> members; // without self
    std::vector<EntryId> probeOrder;
    std::map<std::uint64_t, OutstandingProbe> probes;
    std::uint64_t nextSequence = 1;
    std::uint32_t selfTransmissions = 0;
    TimePoint nextProbe{};
    TimePoint lastTick{};
};

struct MembershipOutput
{
    std::vector<GossipSend> send;
    std::vector<Member> changed;     // members whose status or facts changed
    std::vector<SeatSample> samples; // seat samples on the own clock
    std::vector<std::pair<EntryId, ConfigVersion>> versions; // versions that peers applied
    bool wasPaused = false; // this process did not run for several probe periods
};

// The sender's versions and seat samples, put on outgoing messages.
struct GossipContext
{
    ConfigVersion version = 0;
    std::span<const SeatSample> samples;
};

MembershipState makeMembership(Member self, std::vector<std::string> seeds,
                               const MembershipOptions &options, std::uint64_t seed, TimePoint now);

void membershipTick(MembershipState &state, const GossipContext &context, TimePoint now,
                    MembershipOutput &out);

void membershipReceive(MembershipState &state, const GossipMessage &message,
                       const std::string &sender, const GossipContext &context, TimePoint now,
                       MembershipOutput &out);

// Adds members learned outside the probes, from a peer's full list.
void mergeMembers(MembershipState &state, std::span<const Member> members, TimePoint now,
                  MembershipOutput &out);

// Changes the own entry's advertised facts and raises its incarnation.
void setSelfDraining(MembershipState &state, bool draining);
void setSelfLeft(MembershipState &state);

// The full list, own entry included.
std::vector<Member> allMembers(const MembershipState &state);

// Hash of the full list. Two entries with the same digest hold the same list.
std::uint64_t membersDigest(const MembershipState &state);

// True for the own entry and for members that are alive or suspected.
bool isReachable(const MembershipState &state, const EntryId &entry);

} // namespace Trefoil
