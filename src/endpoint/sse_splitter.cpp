#include <rhubarbgrade/detail/endpoint/sse_splitter.hpp>

#include <functional>  // function
#include <string_view> // string_view

namespace rhubarbgrade
{

bool sse_splitter::add(std::string_view bytes,
                       const std::function<bool(std::string_view)>& on_event)
{
    constexpr std::string_view terminator = "\n\n";
    m_buffer.append(bytes);
    std::size_t begin = 0;
    bool proceed = true;
    for (;;)
    {
        const auto terminator_begin = m_buffer.find(terminator, begin);
        if (terminator_begin == std::string::npos || !proceed)
            break;
        const auto event_end = terminator_begin + terminator.size();
        proceed = on_event(
            std::string_view(m_buffer).substr(begin, event_end - begin));
        begin = event_end;
    }
    m_buffer.erase(0, begin);
    return proceed && m_buffer.size() <= max_event_bytes;
}

} // namespace rhubarbgrade
