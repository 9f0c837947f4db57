#pragma once

#include <cstdint>  // uint32_t, uint64_t
#include <map>      // map
#include <optional> // optional
#include <set>      // set

#include <rhubarbgrade/detail/base/types.hpp> // milliseconds, time_point_t

namespace rhubarbgrade
{

/// @brief Something about a running request that may have crashed its endpoint:
///        a prompt part that other requests share, or the request as a whole.
struct crash_suspect
{
    /// Position in the prompt; the request as a whole comes after all parts.
    std::uint32_t depth = 0;
    /// A request with it was answered whole after the crash.
    bool cleared = false;
};

using crash_suspects_t = std::map<std::uint64_t, crash_suspect>; ///< by id

/// @brief The crash of one endpoint, as all hosts saw it.
struct crash_record
{
    time_point_t at{};
    crash_suspects_t suspects;
};

/// Crashes by a hash of the process that crashed.
using crash_records_t = std::map<std::uint64_t, crash_record>;

/// @brief Number of crashes after which their common suspect is quarantined.
constexpr int quarantine_threshold = 3;

/// @brief Finds the suspects that explain repeated crashes.
///
/// A suspect explains the crashes that it has not been cleared of. The one with
/// the most crashes is chosen first, and its crashes count for no other. Among
/// equal ones, the most specific is chosen. Crashes at the same moment count
/// once: a bad request crashes one endpoint, a failed network or a deployment
/// several at a time.
/// @param[in] known  suspects that are quarantined already
/// @return the suspects to be quarantined in addition
std::set<std::uint64_t> find_crash_causes(const crash_records_t& crashes,
                                          const std::set<std::uint64_t>& known);

/// @brief Whether @a suspect is charged with crashes, but others explain all of
///        them.
/// @param[in] causes  what explains crashes
bool is_exonerated(std::uint64_t suspect, const crash_records_t& crashes,
                   const std::set<std::uint64_t>& causes);

/// @brief Whether a request may be run in view of the quarantine.
struct admission
{
    /// A quarantined suspect of the request; empty if there is none.
    std::optional<std::uint64_t> suspect;
    bool is_trial = false; ///< may be run nevertheless
};

/// @brief Decides whether a request may be run.
/// @param[in] suspects     of the request
/// @param[in] quarantined  suspects, with the number of the trial that is due
/// @param[in,out] trials   number of the last trial made, by suspect
admission admit(const crash_suspects_t& suspects,
                const std::map<std::uint64_t, int>& quarantined,
                std::map<std::uint64_t, int>& trials);

/// @brief Number of requests with a quarantined suspect that should have been
///        let through as a trial, over all hosts.
/// @param[in] age  time since it was quarantined
int quarantine_trials(milliseconds age);

} // namespace rhubarbgrade
