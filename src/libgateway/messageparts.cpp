#include "libgateway/messageparts.h"

#include <iterator>
#include <utility>

namespace Trefoil {

namespace {

// Sizes of the encoding: texts and lists begin with their length.
constexpr std::size_t LengthBytes = 8;

std::size_t textBytes(const std::string &text)
{
    return LengthBytes + text.size();
}

std::size_t listBytes(std::size_t count, std::size_t elementBytes)
{
    return LengthBytes + count * elementBytes;
}

std::size_t encodedBytes(const KnownNode &node)
{
    constexpr std::size_t numberBytes = 1 + 8 + 1 + 8;
    return numberBytes + textBytes(node.name) + textBytes(node.domain)
           + textBytes(node.internalAddress) + textBytes(node.publicAddress);
}

// Starts another message whenever the rows of the last one would become too large.
template <class Message>
class PartBuilder
{
public:
    // Each part begins as a copy of `empty`.
    PartBuilder(Message empty, std::size_t maxBytes)
        : maxBytes_(maxBytes)
        , empty_(std::move(empty))
        , parts_{empty_}
    {}

    // Returns the part that takes a row of this size.
    Message &partFor(std::size_t rowBytes)
    {
        if (bytes_ > 0 && bytes_ + rowBytes > maxBytes_) {
            parts_.push_back(empty_);
            bytes_ = 0;
        }
        bytes_ += rowBytes;
        return parts_.back();
    }

    std::vector<Message> take() { return std::move(parts_); }

private:
    std::size_t maxBytes_;
    std::size_t bytes_ = 0;
    Message empty_;
    std::vector<Message> parts_;
};

// Marks the parts after the first one.
template <class Message>
std::vector<Message> markContinuations(std::vector<Message> parts)
{
    for (std::size_t i = 1; i < parts.size(); ++i)
        parts[i].isContinuation = true;
    return parts;
}

} // namespace

std::size_t encodedBytes(const EndpointReport &report)
{
    constexpr std::size_t numberBytes = 4 + 1 + 8 + 8 + 1;
    constexpr std::size_t membershipBytes = 8 + 4 + 1;
    constexpr std::size_t changeBytes = 4 + 1;
    std::size_t bytes = numberBytes + changeBytes + textBytes(report.id) + textBytes(report.service)
                        + textBytes(report.address) + textBytes(report.domain)
                        + textBytes(report.fabric) + LengthBytes;
    for (const std::string &model : report.stagedModels)
        bytes += textBytes(model);
    if (report.membership)
        bytes += membershipBytes + textBytes(report.membership->group);
    return bytes;
}

std::size_t encodedBytes(const DepartureNotice &notice)
{
    return textBytes(notice.endpoint) + 8 + 4 + 1;
}

std::size_t encodedBytes(const PartEvidence &evidence)
{
    constexpr std::size_t verdictBytes = 4 + 1 + 4 + 4 + 4 + 4 + 4 + 1;
    std::size_t bytes = evidence.answers.size() * (8 + 4);
    for (const PartEvidence::End &end : evidence.ends) {
        bytes += 8 + 4 + LengthBytes;
        for (const SuspectRequest &suspect : end.suspects)
            bytes += 8 + listBytes(suspect.parts.size(), sizeof(PromptPartId));
    }
    for (const PartEvidence::Verdict &verdict : evidence.verdicts)
        bytes += verdictBytes + listBytes(verdict.parts.size(), sizeof(PromptPartId));
    return bytes;
}

std::vector<LinkHello> divide(const LinkHello &hello)
{
    LinkHello empty = hello;
    empty.progress.clear();
    empty.stalledHeads.clear();
    empty.demandByModel.clear();
    empty.limitedHeads.clear();
    PartBuilder<LinkHello> parts(std::move(empty), MaxPartBytes);
    for (const LinkHello::EndpointProgress &progress : hello.progress)
        parts.partFor(textBytes(progress.endpoint) + 8 + 4).progress.push_back(progress);
    for (const EndpointId &head : hello.stalledHeads)
        parts.partFor(textBytes(head)).stalledHeads.push_back(head);
    for (const auto &[model, demand] : hello.demandByModel)
        parts.partFor(textBytes(model) + 8).demandByModel.emplace(model, demand);
    for (const LinkHello::LimitedHead &head : hello.limitedHeads)
        parts.partFor(textBytes(head.endpoint) + 8).limitedHeads.push_back(head);
    return markContinuations(parts.take());
}

std::vector<Topology> divide(const Topology &topology)
{
    PartBuilder<Topology> parts(Topology{}, MaxPartBytes);
    for (const KnownNode &node : topology.nodes)
        parts.partFor(encodedBytes(node)).nodes.push_back(node);
    for (const Topology::RememberedEntry &entry : topology.rememberedEntries)
        parts.partFor(textBytes(entry.name) + 4).rememberedEntries.push_back(entry);
    return markContinuations(parts.take());
}

std::vector<EndpointUpdate> divide(std::vector<EndpointUpdate::HeardEndpoint> heard)
{
    PartBuilder<EndpointUpdate> parts(EndpointUpdate{}, MaxPartBytes);
    for (EndpointUpdate::HeardEndpoint &row : heard)
        parts.partFor(textBytes(row.endpoint) + 8 + 4).heard.push_back(std::move(row));
    return parts.take();
}

std::vector<LoadDigest> divide(const LoadDigest &digest)
{
    LoadDigest empty;
    empty.entryName = digest.entryName;
    empty.processStartMs = digest.processStartMs;
    empty.sequence = digest.sequence;
    PartBuilder<LoadDigest> parts(std::move(empty), MaxDatagramPartBytes);
    for (const LoadDigest::ReportedLoad &load : digest.loads)
        parts.partFor(8 + 4 + 4).loads.push_back(load);
    for (const LimitReport &limit : digest.limits)
        parts.partFor(8 + 8 + 9 + 4).limits.push_back(limit);
    for (const EndpointHash endpoint : digest.neededEndpoints)
        parts.partFor(sizeof endpoint).neededEndpoints.push_back(endpoint);
    for (const LimitGrant &grant : digest.grants)
        parts.partFor(8 + 4).grants.push_back(grant);
    std::vector<LoadDigest> numbered = parts.take();
    for (std::size_t i = 0; i < numbered.size(); ++i)
        numbered[i].part = static_cast<std::uint32_t>(i);
    return numbered;
}

void mergeHello(LinkHello &hello, LinkHello &&part)
{
    hello.progress = std::move(part.progress);
    hello.stalledHeads = std::move(part.stalledHeads);
    hello.demandByModel.merge(part.demandByModel);
    hello.limitedHeads.insert(hello.limitedHeads.end(),
                              std::make_move_iterator(part.limitedHeads.begin()),
                              std::make_move_iterator(part.limitedHeads.end()));
}

} // namespace Trefoil
