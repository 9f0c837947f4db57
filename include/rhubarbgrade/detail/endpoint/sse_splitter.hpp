#pragma once

#include <functional>  // function
#include <string>      // string
#include <string_view> // string_view

namespace rhubarbgrade
{

/// @brief Splits a stream of server-sent events into events.
class sse_splitter
{
public:
    /// Maximum size of an incomplete event.
    static constexpr std::size_t max_event_bytes = 1U << 16U;

    /// @brief Appends received bytes and extracts the complete events.
    /// @param[in] bytes     the received bytes
    /// @param[in] on_event  called with each complete event, including the
    ///                      blank line that terminates it; returns whether to
    ///                      continue
    /// @return false if @a on_event returned false, or if the incomplete event
    ///         exceeds @ref max_event_bytes
    bool add(std::string_view bytes,
             const std::function<bool(std::string_view)>& on_event);

    /// @brief The received bytes of the incomplete event.
    std::string_view rest() const
    {
        return m_buffer;
    }

private:
    std::string m_buffer;
};

} // namespace rhubarbgrade
