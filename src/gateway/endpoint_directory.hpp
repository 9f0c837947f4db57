#pragma once

#include <functional>    // function
#include <map>           // map
#include <memory>        // shared_ptr
#include <span>          // span
#include <string>        // string
#include <string_view>   // string_view
#include <unordered_map> // unordered_map
#include <vector>        // vector

#include <boost/asio/any_io_executor.hpp> // any_io_executor
#include <boost/asio/awaitable.hpp>       // awaitable

#include <rhubarbgrade/detail/fleet/fleet_view.hpp> // fleet_view_ptr_t
#include <rhubarbgrade/detail/routing/choose.hpp>   // random_source_t

#include "pool_endpoint.hpp" // endpoint_link, pool_endpoint

namespace rhubarbgrade::platform
{
struct answer_head;
struct prompt_part;
} // namespace rhubarbgrade::platform

namespace rhubarbgrade
{

using endpoint_ptr_t = std::shared_ptr<pool_endpoint>;

/// @brief What a request asks of the endpoint that it goes to.
struct endpoint_wish
{
    std::string_view service;
    std::span<const platform::prompt_part> parts;
    token_count_t prompt_tokens = 0;
    std::span<const endpoint_ptr_t> tried; ///< not these again
    bool repeatable = false;
};

/// @brief The endpoints that this host may use, and its connections to them.
class endpoint_directory
{
public:
    /// @param[in] crashed  called for each request that an endpoint was
    ///                     running when it crashed
    endpoint_directory(boost::asio::any_io_executor executor, std::string zone,
                       random_source_t random,
                       std::function<void(std::uint64_t)> crashed);

    /// @brief Takes over a new view of the fleet.
    void update(const fleet_view_ptr_t& view);

    /// @brief Chooses an endpoint, or null if none can take the request now.
    endpoint_ptr_t choose(const endpoint_wish& wish, time_point_t now);

    /// @brief Whether any endpoint of the service is known.
    bool serves(std::string_view service) const;

    /// @brief Takes an idle connection or makes one.
    /// @param[in] fresh_only  for what can't be sent twice: only a connection
    ///                        that was in use a moment ago, or a new one
    /// @return null if the endpoint can't be reached in time
    boost::asio::awaitable<endpoint_link_ptr_t> connect(endpoint_ptr_t endpoint,
                                                        bool fresh_only);

    /// @brief Keeps a connection on which a whole answer came.
    void keep(pool_endpoint& endpoint, endpoint_link_ptr_t link,
              time_point_t now);

    /// @brief Notes how a request ended at an endpoint.
    void note_end(pool_endpoint& endpoint, bool good, time_point_t now);

    /// @brief Notes that a connection broke while it carried a request. If the
    ///        endpoint can't be reached soon after, it has crashed.
    static void note_broken(pool_endpoint& endpoint, std::uint64_t fingerprint,
                            time_point_t now);

    /// @brief Notes what an endpoint says of its load.
    static void note_load(pool_endpoint& endpoint,
                          const platform::answer_head& answer,
                          time_point_t now);

    /// @brief Closes connections that have been idle too long.
    void sweep(time_point_t now);

private:
    endpoint_ptr_t choose_of(const std::vector<endpoint_ptr_t>& pool,
                             const endpoint_wish& wish,
                             const trial_split* split, bool to_target,
                             time_point_t now) const;

    boost::asio::any_io_executor m_executor;
    std::string m_zone;
    void note_unreachable(pool_endpoint& endpoint, time_point_t now);

    random_source_t m_random;
    std::function<void(std::uint64_t)> m_crashed;
    fleet_view_ptr_t m_view;
    std::unordered_map<std::string, endpoint_ptr_t> m_by_id;
    std::map<std::string, std::vector<endpoint_ptr_t>, std::less<>>
        m_by_service;
};

} // namespace rhubarbgrade
