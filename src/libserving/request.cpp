#include "libserving/request.h"

namespace Trefoil {

namespace {

constexpr const char *OutcomeNames[] = {"done", "not-run", "unknown", "failed"};

constexpr const char *ReasonNames[] = {
        "none",
        "unknown-target",
        "unknown-workspace",
        "stale",
        "draining",
        "overloaded",
        "no-capacity",
        "deadline-passed",
        "key-mismatch",
        "key-running",
        "key-unavailable",
        "connect-failed",
        "endpoint-refused",
        "endpoint-failed",
        "connection-lost",
        "silent",
        "caller-gone",
        "entry-lost",
};

} // namespace

std::string toString(const RequestId &id)
{
    return id.entry + "-" + std::to_string(id.incarnation) + "-" + std::to_string(id.number);
}

const char *toString(Outcome outcome)
{
    return OutcomeNames[static_cast<std::size_t>(outcome)];
}

const char *toString(Reason reason)
{
    return ReasonNames[static_cast<std::size_t>(reason)];
}

} // namespace Trefoil
