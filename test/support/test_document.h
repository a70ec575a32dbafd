#pragma once

#include <string>

namespace anvilmoor::test {

// A configuration document with the availability zones "north" and "south", each with two racks of four
// workers with eight accelerators; the service "plan" with the operations "quote" (idempotent) and "book"
// (not idempotent); and the client accounts "mill" (guarantees of 16 accelerators in each zone) and "press"
// (8 in north).
std::string testDocument();

} // namespace anvilmoor::test
