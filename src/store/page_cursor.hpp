#pragma once

#include <set>    // set
#include <string> // string

namespace rhubarbgrade
{

namespace platform
{
struct object_page;
} // namespace platform

/// @brief Position in a list that the store returns in pages.
class page_cursor
{
public:
    /// @brief Name behind which the next page begins; empty for the first one.
    const std::string& after() const
    {
        return m_after;
    }

    /// @brief Moves behind a page.
    /// @return false if no object of the page names a position, or one that
    ///         has been passed before: the same pages would be read again
    bool advance(const platform::object_page& page);

private:
    std::string m_after;
    std::set<std::string> m_passed;
};

} // namespace rhubarbgrade
