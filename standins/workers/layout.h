#pragma once

#include "clients/codec_error.h"

#include <string>
#include <string_view>
#include <vector>

namespace anvilmoor::standin {

struct WorkerLayout {
    std::string id;
    int accelerators = 0;
};

struct RackLayout {
    std::string id;
    std::vector<WorkerLayout> workers;
};

struct ZoneLayout {
    std::vector<std::string> services; // each service has an endpoint on every worker
    int slots = 8; // slots of each endpoint
    std::vector<RackLayout> racks;
};

// Reads {"services":["..."],"slots":8,"racks":[{"id":"...","workers":[{"id":"...","accelerators":8}]}]}.
// "service":"..." is short for "services" with one item. Rack ids and worker ids must be unique.
clients::Decoded<ZoneLayout> parseLayout(std::string_view);

} // namespace anvilmoor::standin
