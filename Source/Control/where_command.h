#pragma once

#include <string>
#include <vector>

#include <Poco/JSON/Object.h>

/// The command that asks a gateway where it would send a request.
namespace chestnuthead {

int run_where(const std::vector<std::string>& args);

/// The explanation of a gateway as text, with a table of the endpoints of each pool. Endpoints
/// that may be chosen come first.
std::string format_where_text(const Poco::JSON::Object& report);

/// True if the gateway would refuse the request, in whichever pool.
bool is_refused_everywhere(const Poco::JSON::Object& report);

}  // namespace chestnuthead
