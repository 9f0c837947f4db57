#pragma once

#include <rhubarbgrade/detail/caller/traffic.hpp> // traffic

namespace httplib
{
struct Request;
struct Response;
} // namespace httplib

namespace rhubarbgrade
{

/// @brief Serves a request to a plain service.
///
/// A call that may not be repeated is sent at most once: its idempotency key
/// is claimed before, and nothing is sent again after a byte may have arrived.
void serve_plain(traffic& shared, const httplib::Request& request,
                 httplib::Response& response);

} // namespace rhubarbgrade
