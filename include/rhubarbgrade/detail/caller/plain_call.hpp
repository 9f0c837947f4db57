#pragma once

#include <rhubarbgrade/detail/caller/traffic.hpp> // serving_context

namespace httplib
{
struct Request;
struct Response;
} // namespace httplib

namespace rhubarbgrade
{

/// @brief Serves a request to a plain service, that is, one that is not a
///        model.
///
/// A call that is not idempotent runs at most once: its idempotency key, if it
/// has one, is claimed first, and the call is not sent again once a byte may
/// have reached an endpoint.
void serve_plain(serving_context& context, const httplib::Request& request,
                 httplib::Response& response);

} // namespace rhubarbgrade
