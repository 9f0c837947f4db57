#include <rhubarbgrade/detail/endpoint/sse_splitter.hpp>

#include <functional>  // function
#include <string_view> // string_view

namespace rhubarbgrade
{

bool sse_splitter::add(std::string_view bytes,
                       const std::function<bool(std::string_view)>& take)
{
    constexpr std::string_view end = "\n\n";
    m_rest.append(bytes);
    std::size_t begin = 0;
    bool more = true;
    for (;;)
    {
        const auto found = m_rest.find(end, begin);
        if (found == std::string::npos || !more)
            break;
        const auto stop = found + end.size();
        more = take(std::string_view(m_rest).substr(begin, stop - begin));
        begin = stop;
    }
    m_rest.erase(0, begin);
    return more && m_rest.size() <= event_limit;
}

} // namespace rhubarbgrade
