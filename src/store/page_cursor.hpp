#pragma once

#include <cstdint> // uint64_t
#include <limits>  // numeric_limits
#include <set>     // set
#include <string>  // string

namespace rhubarbgrade
{

namespace platform
{
struct object_page;
} // namespace platform

/// @brief Position in a list that the store returns in pages, and in the
///        store's history.
class page_cursor
{
public:
    /// @brief Revision up to which the pages that were read have all changes.
    ///
    /// That of the oldest page: copies of the store may answer calls that allow
    /// old data, each as of another revision. A watch from there on reports
    /// what a page lacks, and again some of what others have.
    std::uint64_t revision() const
    {
        return m_revision;
    }

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
    std::uint64_t m_revision = std::numeric_limits<std::uint64_t>::max();
    std::string m_after;
    std::set<std::string> m_passed;
};

} // namespace rhubarbgrade
