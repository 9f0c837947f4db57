#pragma once

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds

#include "http_link.hpp" // call_outcome

namespace rhubarbgrade
{

/// Time after the end of the store's delay in which the response to a watch has
/// to arrive at first.
constexpr milliseconds min_watch_margin{700};

/// @brief The margin for the next watch.
///
/// On a link that is full, a response takes longer than on an idle one, and a
/// watch that is given up and repeated would never be answered. So the margin
/// doubles after a watch without a response. It starts anew when no connection
/// can be made: then there is no path, and a long margin would only delay the
/// first call after it is back.
milliseconds next_watch_margin(milliseconds margin, call_outcome outcome);

} // namespace rhubarbgrade
