#pragma once

#include "libcoord/freshness.h"

#include <cstdint>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

// Gossip membership of the entries as in SWIM: periodic direct and indirect probes, suspicion with
// refutation by incarnation, and updates that are sent with the probes. The probes also carry
// configuration versions and seat samples. Performs no I/O and reads no clock.

namespace Trefoil {

using EntryId = std::string;

enum class MemberStatus : std::uint8_t { Alive, Suspect, Dead, Left };

// Entry as the gossip describes it.
struct Member
{
    EntryId entry;
    std::string peerAddress;       // IP:port, UDP and TCP
    std::string callerAddress;     // IP:port, HTTP
    std::string domain;            // failure domain
    std::uint64_t incarnation = 0; // raised by the member itself to refute a suspicion
    std::uint64_t process = 0;     // identifies the member's process, larger for later ones
    MemberStatus status = MemberStatus::Alive;
    bool isDraining = false;

    bool operator==(const Member &) const = default;
};

// Seat sample as an age, since the clocks of sender and receiver differ.
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
    EntryId target;            // member to probe
    ConfigVersion version = 0; // configuration version applied by the sender
    std::vector<Member> updates;
    // Only acks carry samples, since the round trip of the probe bounds their transfer time.
    std::vector<SeatAge> seatAges;
};

// Message to send and its destination.
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
    Duration forgetTimeout = std::chrono::minutes(10); // time for which dead members are remembered
    std::size_t indirectProbes = 3;
    std::size_t maxUpdatesPerMessage = 6;
};

// Other member with the state of its dissemination.
struct KnownMember
{
    Member info;
    TimePoint statusChangedAt{};
    std::uint32_t transmissionCount = 0; // number of messages with the current information
};

// Probe that was not answered yet.
struct OutstandingProbe
{
    EntryId target;
    TimePoint sentAt{};
    TimePoint deadline{};
    bool isIndirect = false;         // other members were asked to probe the target
    std::string relayAddress;        // member that asked for an indirect probe, else empty
    std::uint64_t relaySequence = 0; // sequence number of the requester
};

struct MembershipState
{
    MembershipOptions options;
    Member self;
    std::vector<std::string> seeds;
    std::mt19937_64 rng;
    std::map<EntryId, KnownMember> members; // without the own entry
    std::vector<EntryId> probeOrder;
    std::map<std::uint64_t, OutstandingProbe> probes;
    std::uint64_t nextSequence = 1;
    std::uint32_t selfTransmissionCount = 0;
    TimePoint nextProbe{};
    TimePoint lastTick{};
};

// Messages to send and changes to report after a call.
struct MembershipOutput
{
    std::vector<GossipSend> send;
    std::vector<Member> changed;     // members whose status or description changed
    std::vector<SeatSample> samples; // received seat samples, timed on the own clock
    // Configuration versions that peers have applied.
    std::vector<std::pair<EntryId, ConfigVersion>> appliedVersions;
    bool wasPaused = false; // the process did not run for several probe periods
};

// Applied configuration version and seat samples that outgoing messages carry.
struct GossipContext
{
    ConfigVersion version = 0;
    std::span<const SeatSample> samples;
};

MembershipState makeMembership(Member self, std::vector<std::string> seeds,
                               const MembershipOptions &options, std::uint64_t seed, TimePoint now);

// Expires probes and suspicions and sends the probe that is due.
void membershipTick(MembershipState &state, const GossipContext &context, TimePoint now,
                    MembershipOutput &out);

// Handles a message from another entry.
void membershipReceive(MembershipState &state, const GossipMessage &message,
                       const std::string &sender, const GossipContext &context, TimePoint now,
                       MembershipOutput &out);

// Merges members from a peer's full list.
void mergeMembers(MembershipState &state, std::span<const Member> members, TimePoint now,
                  MembershipOutput &out);

// Change the advertised state of the own entry and raise its incarnation.
void setSelfDraining(MembershipState &state, bool isDraining);
void setSelfLeft(MembershipState &state);

// Returns all members, including the own entry.
std::vector<Member> allMembers(const MembershipState &state);

// Returns a hash over all members. Entries with the same digest have the same list.
std::uint64_t membersDigest(const MembershipState &state);

// Returns true for the own entry and for members that are alive or suspected.
bool isReachable(const MembershipState &state, const EntryId &entry);

} // namespace Trefoil
