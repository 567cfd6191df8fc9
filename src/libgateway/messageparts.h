#pragma once

#include "libgateway/linkmessages.h"

#include <cstddef>
#include <vector>

// Divides messages into parts that each node takes.

namespace Trefoil {

// Bound of the rows in one part of a message. One row is always sent, and is smaller than
// MaxLinkMessageBytes.
constexpr std::size_t MaxPartBytes = 64 * 1024;

// Bound of the rows in a datagram, which is lost as a whole.
constexpr std::size_t MaxDatagramPartBytes = 16 * 1024;

// Return the sizes of rows in a message.
std::size_t encodedBytes(const EndpointReport &report);
std::size_t encodedBytes(const DepartureNotice &notice);
std::size_t encodedBytes(const PartEvidence &evidence);

// The receiver merges all parts but the first one into what the earlier ones contained.
std::vector<LinkHello> divide(const LinkHello &hello);
std::vector<Topology> divide(const Topology &topology);

// The receiver applies each part by itself.
std::vector<EndpointUpdate> divide(std::vector<EndpointUpdate::HeardEndpoint> heard);

// Parts of a digest have the same sequence number and are numbered from 0.
std::vector<LoadDigest> divide(const LoadDigest &digest);

// Adds a part after the first one to a hello.
void mergeHello(LinkHello &hello, LinkHello &&part);

} // namespace Trefoil
