#pragma once

#include <array>   // array
#include <cstdint> // uint64_t
#include <map>     // map
#include <memory>  // shared_ptr
#include <string>  // string
#include <vector>  // vector

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable
#include <boost/beast/http/verb.hpp>      // verb

#include "http_link.hpp"      // call_result, http_link
#include "revision_times.hpp" // revision_times

namespace rhubarbgrade
{

/// @brief Purpose of a call to the store. Calls are counted by purpose, because
///        the platform charges for each of them.
enum class call_purpose
{
    list,
    watch,
    budget,
    move,
    probe,
    number_of_purposes,
};

/// @brief Client of the platform's store with a pool of persistent connections.
///
/// All calls of this host to the store go through one client.
class store_client
{
public:
    store_client(boost::asio::any_io_executor executor, socket_address address);

    /// @brief Makes one call on an idle connection of the pool or a new one.
    /// @param[in] timeout  for the whole call, including connecting
    boost::asio::awaitable<call_result>
    call(call_purpose purpose, boost::beast::http::verb verb,
         std::string target, std::string body, milliseconds timeout);

    /// @brief Ends all watches that wait for an answer.
    void abort_watches();

    /// @brief Ends the watch that waits for an answer to a call.
    void abort_watch(const std::string& target);

    /// @brief Records a revision of the store, see @ref revision_times::record.
    /// @param[in] era  of the response that has told it
    void record_revision(std::uint64_t era, std::uint64_t revision,
                         time_point_t began);

    /// @brief Revisions that the store had reached in its present era, and
    /// when.
    const revision_times& revisions() const
    {
        return m_revisions;
    }

    /// @brief Another host has been told of an era of the store.
    void learn_era(std::uint64_t era);

    /// @brief The latest era that the store has named.
    std::uint64_t era() const
    {
        return m_era;
    }

    /// @brief Number of calls made so far for a purpose.
    std::uint64_t calls(call_purpose purpose) const
    {
        return m_call_counts[static_cast<std::size_t>(purpose)];
    }

private:
    std::shared_ptr<http_link> acquire_link();

    boost::asio::any_io_executor m_executor;
    socket_address m_address;
    std::vector<std::shared_ptr<http_link>> m_idle;
    /// Waiting for an answer, by the target of the call.
    std::map<std::string, std::shared_ptr<http_link>> m_watches;
    std::uint64_t m_era = 0;
    revision_times m_revisions; ///< in this era
    std::array<std::uint64_t,
               static_cast<std::size_t>(call_purpose::number_of_purposes)>
        m_call_counts{};
};

} // namespace rhubarbgrade
