#pragma once

#include "http.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <tuple>

namespace review {

using Json = nlohmann::json;

// The platform's table store: rows, transactions and feeds. It loses nothing and its answers are
// linearizable.
class Store {
public:
    explicit Store(const std::string& ip);

    std::string address() const { return m_server->address(); }

    // What the operator and the workers write.
    void put(const std::string& table, const std::string& key, const Json& value);
    void remove(const std::string& table, const std::string& key);
    bool hasRow(const std::string& table, const std::string& key);

    // From now on, each answer takes this long.
    void setAnswerTime(int milliseconds);

private:
    using Key = std::tuple<std::string, std::string, std::string>; // table, part, key

    struct Row {
        std::string value; // base64
        std::uint64_t version = 0;
    };
    struct Change {
        std::uint64_t version = 0;
        Key key;
        bool isDeleted = false;
    };

    Response handle(const Request&);
    Json transact(const Json& body, int& status);
    Json get(const Request&);
    Json feed(const Request&);
    Json encode(const Key&, const Row&) const;
    std::int64_t now() const;
    void write(const Key&, std::string value, std::uint64_t version);
    void erase(const Key&, std::uint64_t version);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::deque<Change> m_history;
    std::uint64_t m_version = 0;
    int m_answerTimeMs = 4;
    const std::chrono::steady_clock::time_point m_start = std::chrono::steady_clock::now();
    std::unique_ptr<Server> m_server;
};

} // namespace review
