#pragma once

#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

namespace rhubarbgrade
{

/// @brief Cuts a server-sent event stream into its events.
class sse_splitter
{
public:
    /// Longest event that is kept, bytes.
    static constexpr std::size_t event_limit = 1U << 16U;

    /// @brief Adds received bytes.
    /// @param[in] bytes  what was received
    /// @param[in] take   gets each whole event, its blank line included;
    ///                   returns whether to go on
    /// @return false if @a take said so or an event is over its limit
    bool add(std::string_view bytes,
             const std::function<bool(std::string_view)>& take);

    /// @brief What was received of an event that isn't whole yet.
    std::string_view rest() const
    {
        return m_rest;
    }

private:
    std::string m_rest;
};

} // namespace rhubarbgrade
