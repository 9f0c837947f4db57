#pragma once

#include "protocol.capnp.h" // Router

namespace rhubarbgrade
{

class control_core;

/// @brief RPC server for calls from other routers; used on the control thread
///        only.
class router_server final : public protocol::Router::Server
{
public:
    explicit router_server(control_core& core);

    kj::Promise<void> beat(BeatContext context) override;
    kj::Promise<void> replicate(ReplicateContext context) override;
    kj::Promise<void> give(GiveContext context) override;
    kj::Promise<void> handBack(HandBackContext context) override;
    kj::Promise<void> manifest(ManifestContext context) override;
    kj::Promise<void> part(PartContext context) override;
    kj::Promise<void> findRequest(FindRequestContext context) override;
    kj::Promise<void> claim(ClaimContext context) override;
    kj::Promise<void> answer(AnswerContext context) override;
    kj::Promise<void> dropClaim(DropClaimContext context) override;
    kj::Promise<void> hosts(HostsContext context) override;

private:
    control_core& m_core;
};

} // namespace rhubarbgrade
