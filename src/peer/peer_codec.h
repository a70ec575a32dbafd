#pragma once

#include "anvilmoor/peer_message.h"
#include "peer/generated/peer.capnp.h"

#include <tl/expected.hpp>

namespace anvilmoor::peer {

enum class DecodeError {
    UnknownMessageKind, // sent by a newer release; can be ignored
    Malformed,
};

void encode(const PeerMessage&, wire::Message::Builder);

// Throws kj::Exception if the Cap'n Proto structure of the message is invalid.
tl::expected<PeerMessage, DecodeError> decode(wire::Message::Reader);

} // namespace anvilmoor::peer
