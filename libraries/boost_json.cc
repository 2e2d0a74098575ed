// Compiles Boost.JSON once; all other files include <boost/json.hpp> only.
#include <boost/json/src.hpp>
