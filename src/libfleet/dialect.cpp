#include "libfleet/dialect.h"

#include <map>

namespace Trefoil {

namespace {

std::map<std::string, Dialect, std::less<>> &registeredDialects()
{
    static std::map<std::string, Dialect, std::less<>> dialectsByName;
    return dialectsByName;
}

} // namespace

void registerDialect(const Dialect &dialect)
{
    registeredDialects()[dialect.name] = dialect;
}

const Dialect *findDialect(std::string_view name)
{
    const auto found = registeredDialects().find(name);
    return found == registeredDialects().end() ? nullptr : &found->second;
}

} // namespace Trefoil
