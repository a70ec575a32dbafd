#pragma once

#include "peer/uv_message_stream.h"

#include <capnp/rpc-twoparty.h>

namespace anvilmoor::peer {

// One end of an RPC connection. Must not be destroyed from inside a KJ event, because the event may belong
// to this connection.
class RpcLink {
public:
    // Client end: makes the calls.
    explicit RpcLink(uv_tcp_t* connected)
        : stream(connected)
        , m_network(stream, capnp::rpc::twoparty::Side::CLIENT)
        , m_rpc(capnp::makeRpcClient(m_network))
    {
    }

    // Server end: answers calls to `served`.
    RpcLink(uv_tcp_t* accepted, capnp::Capability::Client served)
        : stream(accepted)
        , m_network(stream, capnp::rpc::twoparty::Side::SERVER)
        , m_rpc(capnp::makeRpcServer(m_network, kj::mv(served)))
    {
    }

    capnp::Capability::Client bootstrap()
    {
        capnp::MallocMessageBuilder message;
        auto id = message.initRoot<capnp::rpc::twoparty::VatId>();
        id.setSide(capnp::rpc::twoparty::Side::SERVER);
        return m_rpc.bootstrap(id);
    }

    UvMessageStream stream;

private:
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

} // namespace anvilmoor::peer
