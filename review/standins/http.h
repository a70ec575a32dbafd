#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

// A small HTTP/1.1 server and client for the stand-ins of the review. One thread serves each connection.

namespace review {

struct HttpMessage {
    std::string method; // of a request
    std::string path; // of a request, without query
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    int status = 0; // of a response; 0: no complete response
};

class HttpServer {
public:
    // Called on the connection's thread. A returned status of 0 closes the connection without an answer.
    using Handler = std::function<HttpMessage(const HttpMessage&)>;

    // Listens on 127.0.0.1 and a free port. Throws std::runtime_error if that fails.
    explicit HttpServer(Handler);
    // Closes all connections and waits for their threads.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::string address() const;

private:
    struct State;

    void accept();

    std::shared_ptr<State> m_state;
};

HttpMessage jsonAnswer(int status, std::string body);

struct HttpRequest {
    std::string method = "GET";
    std::string path;
    std::string host;
    std::string apiKey; // empty: none
    std::string body;
    int timeoutMs = 3'000;
};

// Sends one request on a new connection. The status is 0 if there was no complete response in time.
HttpMessage callOnce(const std::string& address, const HttpRequest&);

} // namespace review
