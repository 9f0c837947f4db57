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
#include "beat.hpp"                    // beat_message
#include "peer_link.hpp"               // peer_link

namespace rhubarbgrade
{

/// @brief Typed calls to other routers; on the control thread only.
///
/// A promise is broken if the router does not answer in time.
class peer_calls
{
public:
    using address_of_t = std::function<std::string(const std::string&)>;

    /// @param[in] network     for connections
    /// @param[in] timer       for time limits
    /// @param[in] address_of  the address of a host, empty if not known
    peer_calls(kj::Network& network, kj::Timer& timer, address_of_t address_of);

    kj::Promise<beat_message> beat(const std::string& host,
                                   const beat_message& message);

    /// @brief Never broken: silence is an answer.
    kj::Promise<replica_answer> replicate(const replica_message& message,
                                          milliseconds timeout);

    kj::Promise<token_count_t>
    give(const std::string& host, const std::string& customer,
         token_count_t tokens, const ledger_id& asker, std::uint64_t number);

    kj::Promise<token_count_t> hand_back(const std::string& host,
                                         const std::string& customer,
                                         token_count_t tokens);

    kj::Promise<std::string> manifest(const std::string& host);
    kj::Promise<std::string> part(const std::string& host,
                                  const std::string& digest);

    /// @return the endpoint, empty if the host does not know the request
    kj::Promise<std::string> find_request(const std::string& host,
                                          const std::string& request);

    kj::Promise<claim_answer> claim(const std::string& host,
                                    const claim_call& call);
    kj::Promise<void> answer(const std::string& host, const ledger_id& owner,
                             const answer_key& step);
    kj::Promise<void> drop_claim(const std::string& host,
                                 const ledger_id& owner,
                                 const std::string& key);

    kj::Promise<std::vector<listed_host>> hosts(const std::string& host);

    /// @brief Whether calls to a host have been failing lately.
    bool failing(const std::string& host) const;

private:
    peer_link& link(const std::string& host);

    kj::Network& m_network;
    kj::Timer& m_timer;
    address_of_t m_address_of;
    std::map<std::string, std::unique_ptr<peer_link>> m_links;
};

} // namespace rhubarbgrade
