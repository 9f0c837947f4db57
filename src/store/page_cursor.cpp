#include "page_cursor.hpp"

#include <platform/store_calls.hpp> // list_position, object_page

namespace rhubarbgrade
{

bool page_cursor::advance(const platform::object_page& page)
{
    m_after = platform::list_position(page.last_name);
    return !m_after.empty() && m_passed.insert(m_after).second;
}

} // namespace rhubarbgrade
