#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

// HTTP/1.1 over blocking sockets, one thread per connection: enough for the stand-ins of a review.

namespace review {

struct Request {
    std::string method;
    std::string path; // without query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
};

struct Response {
    int status = 200;
    std::string body;
    bool isDropped = false; // the server closes the connection without an answer
};

using Handler = std::function<Response(const Request&)>;

// Listens on a free port of the address, which is written to `address`.
int listenOn(const std::string& ip, std::string& address);
// Returns a connected socket, or -1.
int connectTo(const std::string& address);

// Serves until the process ends.
class Server {
public:
    // Listens on a free port of the address.
    Server(const std::string& ip, Handler);

    const std::string& address() const { return m_address; }

private:
    std::string m_address;
};

// One connection of a client, kept open between calls. Not for use by several threads at a time.
class Connection {
public:
    explicit Connection(std::string address);
    ~Connection();
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    // Connects if necessary. Empty if the connection ends, or the timeout passes, before a whole answer.
    std::optional<Response> call(const std::string& method, const std::string& path,
        const std::vector<std::string>& headers, const std::string& body, int timeoutMs);
    bool connect(int timeoutMs);
    void close();

private:
    std::string m_address;
    int m_socket = -1;
};

} // namespace review
