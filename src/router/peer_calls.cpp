#include "peer_calls.hpp"

#include <memory>  // make_unique
#include <string>  // string
#include <utility> // move

#include "codec.hpp" // read, write

namespace rhubarbgrade
{
namespace
{

constexpr milliseconds beat_timeout{1000};
constexpr milliseconds give_timeout{250};
constexpr milliseconds hand_back_timeout{600};
constexpr milliseconds fetch_timeout{2000};
constexpr milliseconds find_timeout{250};
constexpr milliseconds claim_timeout{1000};

/// Time after a failed call in which a host is reported as failing, so that
/// others are asked instead.
constexpr milliseconds failure_window{2000};

replica_answer from_wire(protocol::ReplicateStatus status)
{
    switch (status)
    {
    case protocol::ReplicateStatus::OK:
        return replica_answer::ok;
    case protocol::ReplicateStatus::RESET:
        return replica_answer::reset;
    case protocol::ReplicateStatus::CLOSING:
        return replica_answer::closing;
    case protocol::ReplicateStatus::CLOSED:
        return replica_answer::closed;
    }
    return replica_answer::silent;
}

claim_status from_wire(protocol::ClaimStatus status)
{
    switch (status)
    {
    case protocol::ClaimStatus::CLAIMED:
        return claim_status::claimed;
    case protocol::ClaimStatus::ANSWERED:
        return claim_status::answered;
    case protocol::ClaimStatus::PENDING:
        return claim_status::pending;
    case protocol::ClaimStatus::NOT_OWNER:
        return claim_status::not_owner;
    case protocol::ClaimStatus::UNAVAILABLE:
        break;
    }
    return claim_status::unavailable;
}

std::string bytes(capnp::Data::Reader from)
{
    return {reinterpret_cast<const char*>(from.begin()), from.size()};
}

} // namespace

peer_calls::peer_calls(kj::Network& network, kj::Timer& timer,
                       address_resolver_t resolve_address)
    : m_network(network),
      m_timer(timer),
      m_resolve_address(std::move(resolve_address))
{
}

peer_link& peer_calls::link(const std::string& host)
{
    auto& cached_link = m_links[host];
    const auto address = m_resolve_address(host);
    if (cached_link == nullptr || cached_link->address() != address)
        cached_link = std::make_unique<peer_link>(m_network, m_timer, address);
    return *cached_link;
}

bool peer_calls::failing(const std::string& host) const
{
    const auto found = m_links.find(host);
    return found != m_links.end() &&
           found->second->failed_within(failure_window);
}

kj::Promise<heartbeat_message>
peer_calls::beat(const std::string& host, const heartbeat_message& message)
{
    return link(host)
        .call(beat_timeout,
              [message](protocol::Router::Client router)
              {
                  auto request = router.beatRequest();
                  write(request.initBeat(), message);
                  return kj::Promise<
                      capnp::Response<protocol::Router::BeatResults>>(
                      request.send());
              })
        .then(
            [](capnp::Response<protocol::Router::BeatResults>&& response)
            {
                return read(response.getBeat());
            });
}

kj::Promise<replica_answer>
peer_calls::replicate(const replica_message& message, milliseconds timeout)
{
    return link(message.second.host)
        .call(timeout,
              [message](protocol::Router::Client router)
              {
                  auto request = router.replicateRequest();
                  write(request.initLedger(), message.ledger);
                  request.setSecondBoot(message.second.boot);
                  request.setSession(message.session);
                  request.setSync(message.sync);
                  request.setFirst(message.first);
                  auto steps =
                      request.initOperations(message.operations.size());
                  for (std::size_t i = 0; i < message.operations.size(); ++i)
                      write(steps[i], message.operations[i]);
                  return kj::Promise<
                      capnp::Response<protocol::Router::ReplicateResults>>(
                      request.send());
              })
        .then(
            [](capnp::Response<protocol::Router::ReplicateResults>&& results)
            {
                return from_wire(results.getStatus());
            })
        .catch_(
            [](kj::Exception&&)
            {
                return replica_answer::silent;
            });
}

kj::Promise<token_count_t> peer_calls::give(const std::string& host,
                                            const std::string& customer,
                                            token_count_t tokens,
                                            const ledger_id& requester,
                                            std::uint64_t sequence_number)
{
    return link(host)
        .call(give_timeout,
              [=](protocol::Router::Client router)
              {
                  auto request = router.giveRequest();
                  request.setCustomer(customer.c_str());
                  request.setTokens(tokens);
                  write(request.initAsker(), requester);
                  request.setNumber(sequence_number);
                  return kj::Promise<
                      capnp::Response<protocol::Router::GiveResults>>(
                      request.send());
              })
        .then(
            [](capnp::Response<protocol::Router::GiveResults>&& response)
            {
                return token_count_t{response.getTokens()};
            });
}

kj::Promise<token_count_t> peer_calls::hand_back(const std::string& host,
                                                 const std::string& customer,
                                                 token_count_t tokens)
{
    return link(host)
        .call(hand_back_timeout,
              [=](protocol::Router::Client router)
              {
                  auto request = router.handBackRequest();
                  request.setCustomer(customer.c_str());
                  request.setTokens(tokens);
                  return kj::Promise<
                      capnp::Response<protocol::Router::HandBackResults>>(
                      request.send());
              })
        .then(
            [](capnp::Response<protocol::Router::HandBackResults>&& response)
            {
                return token_count_t{response.getTokens()};
            });
}

kj::Promise<std::string> peer_calls::manifest(const std::string& host)
{
    return link(host)
        .call(fetch_timeout,
              [](protocol::Router::Client router)
              {
                  return kj::Promise<
                      capnp::Response<protocol::Router::ManifestResults>>(
                      router.manifestRequest().send());
              })
        .then(
            [](capnp::Response<protocol::Router::ManifestResults>&& results)
            {
                return bytes(results.getText());
            });
}

kj::Promise<std::string> peer_calls::part(const std::string& host,
                                          const std::string& digest)
{
    return link(host)
        .call(fetch_timeout,
              [digest](protocol::Router::Client router)
              {
                  auto request = router.partRequest();
                  request.setDigest(digest.c_str());
                  return kj::Promise<
                      capnp::Response<protocol::Router::PartResults>>(
                      request.send());
              })
        .then(
            [](capnp::Response<protocol::Router::PartResults>&& results)
            {
                return bytes(results.getText());
            });
}

kj::Promise<std::string> peer_calls::find_request(const std::string& host,
                                                  const std::string& request)
{
    return link(host)
        .call(find_timeout,
              [request](protocol::Router::Client router)
              {
                  auto rpc_request = router.findRequestRequest();
                  rpc_request.setRequest(request.c_str());
                  return kj::Promise<
                      capnp::Response<protocol::Router::FindRequestResults>>(
                      rpc_request.send());
              })
        .then(
            [](capnp::Response<protocol::Router::FindRequestResults>&& results)
            {
                return std::string(results.getEndpoint().cStr());
            });
}

kj::Promise<claim_answer> peer_calls::claim(const std::string& host,
                                            const claim_call& call)
{
    return link(host)
        .call(claim_timeout,
              [call](protocol::Router::Client router)
              {
                  auto request = router.claimRequest();
                  write(request.initOwner(), call.owner);
                  request.setKey(call.key.c_str());
                  request.setRequest(call.request.c_str());
                  return kj::Promise<
                      capnp::Response<protocol::Router::ClaimResults>>(
                      request.send());
              })
        .then(
            [](capnp::Response<protocol::Router::ClaimResults>&& results)
            {
                return claim_answer{
                    from_wire(results.getStatus()), results.getAnswerStatus(),
                    results.getContentType().cStr(), bytes(results.getBody())};
            });
}

kj::Promise<void> peer_calls::answer(const std::string& host,
                                     const ledger_id& owner,
                                     const answer_key& step)
{
    return link(host)
        .call(claim_timeout,
              [owner, step](protocol::Router::Client router)
              {
                  auto request = router.answerRequest();
                  write(request.initOwner(), owner);
                  request.setKey(step.key.c_str());
                  request.setStatus(step.status);
                  request.setContentType(step.content_type.c_str());
                  request.setBody(capnp::Data::Reader(
                      reinterpret_cast<const capnp::byte*>(step.body.data()),
                      step.body.size()));
                  return kj::Promise<
                      capnp::Response<protocol::Router::AnswerResults>>(
                      request.send());
              })
        .ignoreResult();
}

kj::Promise<void> peer_calls::drop_claim(const std::string& host,
                                         const ledger_id& owner,
                                         const std::string& key)
{
    return link(host)
        .call(claim_timeout,
              [owner, key](protocol::Router::Client router)
              {
                  auto request = router.dropClaimRequest();
                  write(request.initOwner(), owner);
                  request.setKey(key.c_str());
                  return kj::Promise<
                      capnp::Response<protocol::Router::DropClaimResults>>(
                      request.send());
              })
        .ignoreResult();
}

kj::Promise<std::vector<listed_host>> peer_calls::hosts(const std::string& host)
{
    return link(host)
        .call(fetch_timeout,
              [](protocol::Router::Client router)
              {
                  return kj::Promise<
                      capnp::Response<protocol::Router::HostsResults>>(
                      router.hostsRequest().send());
              })
        .then(
            [](capnp::Response<protocol::Router::HostsResults>&& results)
            {
                std::vector<listed_host> list;
                for (const auto entry : results.getHosts())
                    list.push_back(
                        {entry.getName().cStr(), entry.getZone().cStr(),
                         entry.getAddress().cStr(), entry.getLeaving()});
                return list;
            });
}

} // namespace rhubarbgrade
