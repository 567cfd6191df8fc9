#pragma once

#include <cstdint>
#include <optional>

// What an entry must know before it tells a caller that its request has not run and never will. The
// statuses that say so can only be built from a proof, and a proof only from the word of each
// endpoint that the request was sent to. Nothing else is one: no status alone but 421, no closed or
// silent connection, and no later attempt that was refused.

namespace Trefoil {

// What the head of an endpoint's answer says of the request that it answers.
struct AnswerFacts
{
    std::uint32_t status = 0;

    // The endpoint states that it did not run the request.
    bool saysNotExecuted = false;

    // The answer names this request, or names none and no other one was sent on the connection.
    bool isToThisRequest = false;
};

// The word of an endpoint that it has not run a request that was sent to it.
class EndpointRefusal
{
private:
    EndpointRefusal() = default;
    friend std::optional<EndpointRefusal> readRefusal(const AnswerFacts &answer);
};

// Returns nothing when the answer does not prove it. A success that denies the execution
// contradicts itself.
std::optional<EndpointRefusal> readRefusal(const AnswerFacts &answer);

// Proof that a request has not run and will not run.
class NotRunProof
{
private:
    NotRunProof() = default;
    friend class SendLog;
};

// Counts how often a request was sent to an endpoint, and how often this one refused it.
class SendLog
{
public:
    // Must be called before the first byte leaves.
    void recordSend() { ++sent_; }

    // Called once at most for each time that the request was sent.
    void recordRefusal(const EndpointRefusal & /*refusal*/) { ++refused_; }

    std::uint32_t sendCount() const { return sent_; }

    // Returns the proof when the request never left, or when all that got it refused it.
    std::optional<NotRunProof> proveNotRun() const;

private:
    std::uint32_t sent_ = 0;
    std::uint32_t refused_ = 0;
};

// The statuses by which callers learn that a request has not run and never will.
enum class NotRunStatus : std::uint32_t {
    RequestTimeout = 408,
    MisdirectedRequest = 421,
    TooManyRequests = 429,
    ServiceUnavailable = 503,
};

bool isNotRunStatus(std::uint32_t status);

// Status of an answer that the entry makes itself.
class ErrorStatus
{
public:
    // A status that promises nothing. One that would is replaced by 502.
    explicit ErrorStatus(std::uint32_t status);

    ErrorStatus(NotRunStatus status, const NotRunProof &proof);

    std::uint32_t value() const { return value_; }

private:
    std::uint32_t value_;
};

// Returns the promise if there is a proof, and else the other status.
ErrorStatus promiseIfProven(NotRunStatus status, const SendLog &sends, std::uint32_t otherwise);

} // namespace Trefoil
