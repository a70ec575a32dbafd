#pragma once

#include "anvilmoor/effect.h"
#include "anvilmoor/event.h"
#include "entry/wire_codec.h"
#include "net/http.h"

#include <string>

namespace anvilmoor::entry {

// Encodes the answer to a service request. Each answer has the header Anvilmoor-Outcome. An answer with an
// unknown outcome contains the URL at which to query the request, which is built from the identity; without a
// key there is no URL.
net::HttpResponse encodeAnswer(const RequestAnswer&, const RequestIdentity&);

// Encodes the answer to an operator or submitter of a job as JSON.
net::HttpResponse encodeOperatorAnswer(const AnswerOperator&);

net::HttpResponse encodeError(const WireError&);

// The answer to a request that never reaches the reducer, with a hint to retry after 1 s. The outcome "not
// run" applies to the request as a whole, not only to this copy. A request with a key therefore has this
// outcome only if this is its first copy; otherwise an earlier copy may have run and the outcome is unknown.
RequestAnswer rejectionAnswer(const RequestReceived&, std::string reason);

} // namespace anvilmoor::entry
