#pragma once

#include <functional> // function
#include <map>        // map
#include <memory>     // unique_ptr
#include <string>     // string
#include <vector>     // vector

#include <kj/async-io.h> // Network, Timer
#include <kj/async.h>    // Promise

#include <rhubarbgrade/detail/base/types.hpp>         // ledger_id
#include <rhubarbgrade/detail/control/claim_call.hpp> // claim_answer

#include "../control/ledger_owner.hpp" // replica_answer, replica_message
#include "beat.hpp"                    // heartbeat_message
#include "peer_link.hpp"               // peer_link

namespace rhubarbgrade
{

/// @brief Client for calls to other routers; used on the control thread only.
///
/// Unless noted otherwise, a promise is rejected if the call fails or times
/// out.
class peer_calls
{
public:
    using address_resolver_t = std::function<std::string(const std::string&)>;

    /// @param[in] network          opens connections
    /// @param[in] timer            enforces the timeouts
    /// @param[in] resolve_address  returns the address of a host, or an empty
    ///                             string if it is unknown
    peer_calls(kj::Network& network, kj::Timer& timer,
               address_resolver_t resolve_address);

    /// @brief Sends a heartbeat.
    /// @return the response of the host
    kj::Promise<heartbeat_message> beat(const std::string& host,
                                        const heartbeat_message& message);

    /// @brief Sends ledger operations to the second host of a ledger.
    /// @return never rejected; @ref replica_answer::silent if the call fails
    ///         or times out
    kj::Promise<replica_answer> replicate(const replica_message& message,
                                          milliseconds timeout);

    /// @brief Asks a host of the zone for tokens.
    /// @param[in] host             the host that is asked
    /// @param[in] customer         the customer whose tokens are needed
    /// @param[in] tokens           number of tokens needed
    /// @param[in] requester        ledger that receives the tokens
    /// @param[in] sequence_number  makes a repeated call idempotent
    /// @return the tokens given, possibly fewer
    kj::Promise<token_count_t> give(const std::string& host,
                                    const std::string& customer,
                                    token_count_t tokens,
                                    const ledger_id& requester,
                                    std::uint64_t sequence_number);

    /// @brief Asks a host of another zone to return tokens to the platform.
    /// @return the tokens returned
    kj::Promise<token_count_t> hand_back(const std::string& host,
                                         const std::string& customer,
                                         token_count_t tokens);

    /// @brief Fetches the manifest of the configuration from a host.
    kj::Promise<std::string> manifest(const std::string& host);

    /// @brief Fetches a part of the configuration by its digest.
    kj::Promise<std::string> part(const std::string& host,
                                  const std::string& digest);

    /// @brief Asks a host where a request was sent.
    /// @return the endpoint, empty if the host does not know the request
    kj::Promise<std::string> find_request(const std::string& host,
                                          const std::string& request);

    /// @brief Claims an idempotency key that a router has issued.
    kj::Promise<claim_answer> claim(const std::string& host,
                                    const claim_call& call);

    /// @brief Stores the first response to a claimed key for replay.
    kj::Promise<void> answer(const std::string& host, const ledger_id& owner,
                             const answer_key& step);

    /// @brief Releases a claimed key whose request was not dispatched.
    kj::Promise<void> drop_claim(const std::string& host,
                                 const ledger_id& owner,
                                 const std::string& key);

    /// @brief Fetches the host list as last read by a host.
    kj::Promise<std::vector<listed_host>> hosts(const std::string& host);

    /// @brief Whether a call to a host failed recently and none has succeeded
    ///        since.
    bool failing(const std::string& host) const;

private:
    peer_link& link(const std::string& host);

    kj::Network& m_network;
    kj::Timer& m_timer;
    address_resolver_t m_resolve_address;
    std::map<std::string, std::unique_ptr<peer_link>> m_links;
};

} // namespace rhubarbgrade
