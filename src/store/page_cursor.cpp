#include "page_cursor.hpp"

#include <algorithm> // min

#include <platform/store_calls.hpp> // list_position, object_page

namespace rhubarbgrade
{

bool page_cursor::advance(const platform::object_page& page)
{
    m_revision = std::min(m_revision, page.revision);
    m_after = platform::list_position(page.last_name);
    return !m_after.empty() && m_passed.insert(m_after).second;
}

} // namespace rhubarbgrade
