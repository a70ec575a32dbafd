#pragma once

#include <string>
#include <tl/expected.hpp>

namespace anvilmoor::clients {

// A message does not have its documented format.
struct CodecError {
    std::string detail; // names the field
};

// A message as JSON text. Encoding fails if a string that has no hexadecimal form is not valid UTF-8.
using Encoded = tl::expected<std::string, CodecError>;

template <typename Message> using Decoded = tl::expected<Message, CodecError>;

} // namespace anvilmoor::clients
