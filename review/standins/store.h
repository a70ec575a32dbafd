#pragma once

#include "http.h"
#include "record.h"

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace review {

using Json = nlohmann::json;

// The limits that the settings state under [platform].
struct StoreLimits {
    std::size_t rowBytes = 65'536;
    std::size_t callBytes = 1'000'000;
    std::size_t entriesPerCall = 100;
    std::size_t rowsPerAnswer = 500;
    int answerMs = 4;
    // Bandwidth of each daemon's own link in Mbit/s, which its answers share evenly; 0: unlimited.
    double linkMbps = 0;
};

// The platform's metadata store: rows, transactions and the feed of changes. Invalid calls get a 400 and
// change nothing.
class Store {
public:
    // Listens at one address for each daemon.
    Store(Record&, StoreLimits, int daemons);
    ~Store();

    std::string addressFor(int daemon) const
    {
        return m_links[static_cast<std::size_t>(daemon)]->server->address();
    }
    // Written by the operator or by a worker.
    void put(const std::string& table, const std::string& key, const Json& value);

private:
    // Table, part and key.
    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value; // base64
        std::uint64_t version = 0;
    };

    struct Link {
        std::atomic<int> answers { 0 }; // on their way at this moment
        std::unique_ptr<HttpServer> server;
    };

    HttpMessage serve(Link&, const HttpMessage&);
    HttpMessage handle(const HttpMessage&);
    HttpMessage transact(const HttpMessage&);
    HttpMessage get(const HttpMessage&);
    HttpMessage parts(const HttpMessage&);
    HttpMessage feed(const HttpMessage&);
    std::string findInvalid(const Json& call, std::size_t bytes) const;
    void write(const Key&, std::string base64, std::uint64_t version);
    void erase(const Key&, std::uint64_t version);
    Json describe(const Key&, const Row&) const;
    Json answerFields() const;

    Record& m_record;
    StoreLimits m_limits;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::map<std::string, std::set<std::pair<std::uint64_t, Key>>> m_changes; // by table; newest of each row
    std::map<Key, std::uint64_t> m_lastChange;
    std::uint64_t m_version = 1;
    std::int64_t m_startMs = steadyMs();
    bool m_isStopping = false;
    std::int64_t m_refusedCalls = 0;
    std::vector<std::unique_ptr<Link>> m_links;
};

std::string toBase64(const std::string&);

} // namespace review
