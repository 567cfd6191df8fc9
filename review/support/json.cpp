// The header-only build of Boost.JSON.
#include <boost/json/src.hpp>
