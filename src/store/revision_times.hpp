#pragma once

#include <cstdint>  // uint64_t
#include <optional> // optional
#include <vector>   // vector

#include <rhubarbgrade/detail/base/types.hpp> // time_point_t

namespace rhubarbgrade
{

/// @brief Revisions that the store had reached at known times.
///
/// They tell how recent a state is that is known up to a revision. That of an
/// object which was only read, or of a response that may be old, tells nothing
/// of the present and must not be recorded.
class revision_times
{
public:
    /// @brief Records what a call has told that allows no old data.
    /// @param[in] revision  of the store in the response, or of what the call
    ///                      has written
    /// @param[in] began     when the call was sent. Changes that the store
    ///                      accepts later may be missing from the response,
    ///                      whenever it arrives.
    void record(std::uint64_t revision, time_point_t began);

    /// @brief The latest time known before which the store had accepted only
    ///        changes up to a revision.
    /// @return empty if none is known
    std::optional<time_point_t> complete_until(std::uint64_t revision) const;

    /// @brief The latest time of which a revision is known.
    std::optional<time_point_t> latest() const;

    /// @brief Forgets all; the store has begun another history.
    void clear();

private:
    struct entry
    {
        time_point_t at;
        std::uint64_t revision;
    };

    std::vector<entry> m_entries; ///< times and revisions rise
};

} // namespace rhubarbgrade
