#include "workers/layout.h"

#include "clients/json_reader.h"

#include <set>

namespace anvilmoor::standin {

clients::Decoded<ZoneLayout> parseLayout(std::string_view text)
{
    clients::JsonReader reader(text);
    reader.allowOnly({ "service", "services", "slots", "racks" });
    ZoneLayout layout;
    if (reader.has("service"))
        layout.services.push_back(reader.text("service"));
    else
        layout.services = reader.texts("services");
    layout.slots = reader.nonNegativeInt("slots");
    std::set<std::string> racks;
    std::set<std::string> workers;
    for (clients::JsonReader& item : reader.items("racks")) {
        item.allowOnly({ "id", "workers" });
        RackLayout rack { item.text("id"), {} };
        if (!racks.insert(rack.id).second)
            item.fail("id", "is the id of an earlier rack");
        for (clients::JsonReader& worker : item.items("workers")) {
            worker.allowOnly({ "id", "accelerators" });
            rack.workers.push_back({ worker.text("id"), worker.nonNegativeInt("accelerators") });
            if (!workers.insert(rack.workers.back().id).second)
                worker.fail("id", "is the id of an earlier worker");
        }
        layout.racks.push_back(std::move(rack));
    }
    return reader.result(std::move(layout));
}

} // namespace anvilmoor::standin
