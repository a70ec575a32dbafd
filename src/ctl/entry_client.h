#pragma once

#include "ctl/exit_code.h"
#include "net/event_loop.h"
#include "net/http.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace anvilmoor::ctl {

struct CallError {
    ExitCode code = ExitCode::Unavailable;
    std::vector<std::string> reasons;
};

struct CallResult {
    int status = 200;
    nlohmann::json body;
    std::string text; // the body as received
    std::string outcome; // value of the header Anvilmoor-Outcome; only for requests to services
    bool isFromRecord = false;
};

// Calls entry hosts one at a time and waits for each answer. Tries the next address only if the call was
// certainly not sent or is safe to resend.
class EntryClient {
public:
    EntryClient(std::vector<net::SocketAddress> entries, Milliseconds timeout);
    ~EntryClient();

    enum class Repeatable { No, Yes };

    tl::expected<CallResult, CallError> call(const net::HttpRequest&, Repeatable);

    void wait(Milliseconds);

private:
    net::HttpResult callOne(const net::SocketAddress&, const net::HttpRequest&);

    std::vector<net::SocketAddress> m_entries;
    Milliseconds m_timeout;
    net::EventLoop m_loop;
    std::unique_ptr<net::HttpClient> m_client;
};

} // namespace anvilmoor::ctl
