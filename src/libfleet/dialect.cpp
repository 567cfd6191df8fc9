#include "libfleet/dialect.h"

#include <map>

namespace Trefoil {

namespace {

std::map<std::string, Dialect, std::less<>> &dialects()
{
    static std::map<std::string, Dialect, std::less<>> registered;
    return registered;
}

} // namespace

void registerDialect(const Dialect &dialect)
{
    dialects()[dialect.name] = dialect;
}

const Dialect *findDialect(std::string_view name)
{
    const auto found = dialects().find(name);
    return found == dialects().end() ? nullptr : &found->second;
}

} // namespace Trefoil
