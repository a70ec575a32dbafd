#include "http.h"

#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

std::string lowerCase(std::string text)
{
    for (char& c : text)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}

std::string decodePercent(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%' || i + 2 >= text.size()) {
            decoded += text[i];
            continue;
        }
        decoded += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
        i += 2;
    }
    return decoded;
}

void splitTarget(const std::string& target, HttpMessage& message)
{
    const std::size_t mark = target.find('?');
    message.path = decodePercent(target.substr(0, mark));
    if (mark == std::string::npos)
        return;
    std::size_t begin = mark + 1;
    while (begin < target.size()) {
        const std::size_t end = std::min(target.find('&', begin), target.size());
        const std::string pair = target.substr(begin, end - begin);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        const std::string value = equals < pair.size() ? pair.substr(equals + 1) : std::string();
        message.query[decodePercent(pair.substr(0, equals))] = decodePercent(value);
        begin = end + 1;
    }
}

// Reads one message. `buffer` keeps the bytes that follow it. Returns false if the connection ended, or at
// the deadline.
bool receive(int socket, std::string& buffer, HttpMessage& message, const Clock::time_point* deadline)
{
    std::size_t headerEnd = std::string::npos;
    std::size_t bodyBytes = 0;
    while (true) {
        if (headerEnd == std::string::npos) {
            headerEnd = buffer.find("\r\n\r\n");
            if (headerEnd != std::string::npos) {
                std::size_t lineEnd = buffer.find("\r\n");
                const std::string first = buffer.substr(0, lineEnd);
                const std::size_t space = first.find(' ');
                if (space == std::string::npos)
                    return false;
                if (first.rfind("HTTP/", 0) == 0) {
                    message.status = std::atoi(first.c_str() + space);
                } else {
                    message.method = first.substr(0, space);
                    splitTarget(first.substr(space + 1, first.rfind(' ') - space - 1), message);
                }
                while (lineEnd < headerEnd) {
                    const std::size_t begin = lineEnd + 2;
                    lineEnd = buffer.find("\r\n", begin);
                    const std::string line = buffer.substr(begin, lineEnd - begin);
                    const std::size_t colon = line.find(':');
                    if (colon == std::string::npos)
                        continue;
                    const std::size_t value = line.find_first_not_of(' ', colon + 1);
                    message.headers[lowerCase(line.substr(0, colon))]
                        = value == std::string::npos ? std::string() : line.substr(value);
                }
                const auto length = message.headers.find("content-length");
                if (length != message.headers.end())
                    bodyBytes = static_cast<std::size_t>(std::atoll(length->second.c_str()));
            }
        }
        if (headerEnd != std::string::npos && buffer.size() >= headerEnd + 4 + bodyBytes) {
            message.body = buffer.substr(headerEnd + 4, bodyBytes);
            buffer.erase(0, headerEnd + 4 + bodyBytes);
            return true;
        }
        if (deadline) {
            const auto left
                = std::chrono::duration_cast<std::chrono::milliseconds>(*deadline - Clock::now()).count();
            pollfd entry { socket, POLLIN, 0 };
            if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0)
                return false;
        }
        char bytes[65'536];
        const ssize_t count = recv(socket, bytes, sizeof(bytes), 0);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
}

bool sendAll(int socket, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

sockaddr_in socketAddress(const std::string& ip, int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

} // namespace

struct HttpServer::State {
    Handler handler;
    int listener = -1;
    int port = 0;
    std::thread acceptor;
    std::mutex mutex;
    std::condition_variable changed;
    std::set<int> sockets;
    bool isStopping = false;

    void serve(int socket)
    {
        std::string buffer;
        while (true) {
            HttpMessage request;
            if (!receive(socket, buffer, request, nullptr))
                break;
            const HttpMessage answer = handler(request);
            if (!answer.status)
                break;
            std::string text = "HTTP/1.1 " + std::to_string(answer.status) + " Answer\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + std::to_string(answer.body.size())
                + "\r\n\r\n" + answer.body;
            if (!sendAll(socket, text))
                break;
        }
        const std::lock_guard lock(mutex);
        sockets.erase(socket);
        close(socket);
        changed.notify_all();
    }
};

HttpServer::HttpServer(Handler handler)
    : m_state(std::make_shared<State>())
{
    m_state->handler = std::move(handler);
    m_state->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress("127.0.0.1", 0);
    socklen_t length = sizeof(address);
    if (bind(m_state->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0
        || ::listen(m_state->listener, 1'024) != 0
        || getsockname(m_state->listener, reinterpret_cast<sockaddr*>(&address), &length) != 0)
        throw std::runtime_error("cannot listen on 127.0.0.1");
    m_state->port = ntohs(address.sin_port);
    m_state->acceptor = std::thread([this] { accept(); });
}

void HttpServer::accept()
{
    const std::shared_ptr<State> state = m_state;
    while (true) {
        const int socket = accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0 && errno == EINTR)
            continue;
        if (socket < 0)
            return;
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard lock(state->mutex);
        if (state->isStopping) {
            close(socket);
            return;
        }
        state->sockets.insert(socket);
        std::thread([state, socket] { state->serve(socket); }).detach();
    }
}

HttpServer::~HttpServer()
{
    {
        const std::lock_guard lock(m_state->mutex);
        m_state->isStopping = true;
        for (const int socket : m_state->sockets)
            shutdown(socket, SHUT_RDWR);
    }
    shutdown(m_state->listener, SHUT_RDWR);
    m_state->acceptor.join();
    close(m_state->listener);
    std::unique_lock lock(m_state->mutex);
    m_state->changed.wait_for(lock, std::chrono::seconds(3), [this] { return m_state->sockets.empty(); });
}

std::string HttpServer::address() const { return "127.0.0.1:" + std::to_string(m_state->port); }

HttpMessage jsonAnswer(int status, std::string body)
{
    HttpMessage answer;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

HttpMessage callOnce(const std::string& address, const HttpRequest& request)
{
    HttpMessage answer;
    const auto deadline = Clock::now() + std::chrono::milliseconds(request.timeoutMs);
    const std::size_t colon = address.find(':');
    const sockaddr_in target
        = socketAddress(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (socket < 0)
        return answer;
    std::string text = request.method + " " + request.path + " HTTP/1.1\r\nHost: " + request.host
        + "\r\nTimeout-Ms: " + std::to_string(request.timeoutMs) + "\r\n";
    if (!request.apiKey.empty())
        text += "Authorization: Bearer " + request.apiKey + "\r\n";
    if (!request.body.empty())
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(request.body.size())
            + "\r\n";
    text += "\r\n" + request.body;
    std::string buffer;
    HttpMessage received;
    if (connect(socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) == 0
        && sendAll(socket, text) && receive(socket, buffer, received, &deadline))
        answer = std::move(received);
    close(socket);
    return answer;
}

} // namespace review
