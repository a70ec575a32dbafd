#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;

sockaddr_in parseAddress(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in parsed {};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1)
        throw std::runtime_error("not an address: " + address);
    return parsed;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string decodePercent(const std::string& text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            decoded += text[i];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(const std::string& text)
{
    std::map<std::string, std::string> query;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find('&', begin), text.size());
        const std::string item = text.substr(begin, end - begin);
        const std::size_t equals = std::min(item.find('='), item.size());
        query[decodePercent(item.substr(0, equals))]
            = equals < item.size() ? decodePercent(item.substr(equals + 1)) : std::string();
        begin = end + 1;
    }
    return query;
}

// Splits the lines of a header into the first line and the fields.
std::map<std::string, std::string> parseFields(const std::string& head, std::string& firstLine)
{
    std::map<std::string, std::string> fields;
    std::size_t begin = head.find("\r\n");
    firstLine = head.substr(0, begin);
    while (begin != std::string::npos && begin + 2 < head.size()) {
        begin += 2;
        const std::size_t end = std::min(head.find("\r\n", begin), head.size());
        const std::string line = head.substr(begin, end - begin);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            fields[lowerCase(line.substr(0, colon))]
                = value == std::string::npos ? std::string() : line.substr(value);
        }
        begin = end < head.size() ? end : std::string::npos;
    }
    return fields;
}

// Reads until the message is whole. Returns false if the connection ends or the time is over before that.
bool readMessage(
    int socket, std::string& buffer, std::string& head, std::string& body, Clock::time_point until)
{
    while (true) {
        const std::size_t end = buffer.find("\r\n\r\n");
        if (end != std::string::npos) {
            head = buffer.substr(0, end);
            std::string firstLine;
            const auto fields = parseFields(head, firstLine);
            const auto length = fields.find("content-length");
            const std::size_t bytes
                = length == fields.end() ? 0 : static_cast<std::size_t>(std::stoul(length->second));
            if (buffer.size() >= end + 4 + bytes) {
                body = buffer.substr(end + 4, bytes);
                buffer.erase(0, end + 4 + bytes);
                return true;
            }
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - Clock::now()).count();
        pollfd state { socket, POLLIN, 0 };
        if (left <= 0 || poll(&state, 1, static_cast<int>(left)) <= 0)
            return false;
        char bytes[16'384];
        const ssize_t count = recv(socket, bytes, sizeof bytes, 0);
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
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

Request parseRequest(const std::string& head, std::string body)
{
    Request request;
    std::string firstLine;
    request.headers = parseFields(head, firstLine);
    const std::size_t first = firstLine.find(' ');
    const std::size_t second = firstLine.find(' ', first + 1);
    request.method = firstLine.substr(0, first);
    const std::string target = firstLine.substr(first + 1, second - first - 1);
    const std::size_t mark = std::min(target.find('?'), target.size());
    request.path = target.substr(0, mark);
    if (mark < target.size())
        request.query = parseQuery(target.substr(mark + 1));
    request.body = std::move(body);
    return request;
}

void serveConnection(int socket, const Handler& handler)
{
    constexpr auto idleTime = std::chrono::minutes(5);
    std::string buffer;
    std::string head;
    std::string body;
    while (readMessage(socket, buffer, head, body, Clock::now() + idleTime)) {
        const Response response = handler(parseRequest(head, std::move(body)));
        if (response.isDropped)
            break;
        const std::string text = "HTTP/1.1 " + std::to_string(response.status)
            + " Status\r\ncontent-type: application/json\r\ncontent-length: "
            + std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
        if (!sendAll(socket, text))
            break;
    }
    close(socket);
}

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

int listenOn(const std::string& ip, std::string& address)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in bound = parseAddress(ip + ":0");
    if (bind(listener, reinterpret_cast<sockaddr*>(&bound), sizeof bound) || listen(listener, 256))
        throw std::runtime_error("cannot listen on " + ip + ": " + std::strerror(errno));
    socklen_t size = sizeof bound;
    getsockname(listener, reinterpret_cast<sockaddr*>(&bound), &size);
    address = ip + ":" + std::to_string(ntohs(bound.sin_port));
    return listener;
}

int connectTo(const std::string& address)
{
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = parseAddress(address);
    setNoDelay(connection);
    if (!::connect(connection, reinterpret_cast<const sockaddr*>(&target), sizeof target))
        return connection;
    close(connection);
    return -1;
}

Server::Server(const std::string& ip, Handler handler)
{
    const int listener = listenOn(ip, m_address);
    std::thread([listener, handler = std::move(handler)] {
        while (true) {
            const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                continue;
            setNoDelay(connection);
            std::thread([connection, handler] { serveConnection(connection, handler); }).detach();
        }
    }).detach();
}

Connection::Connection(std::string address)
    : m_address(std::move(address))
{
}

Connection::~Connection() { close(); }

void Connection::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

bool Connection::connect(int timeoutMs)
{
    if (m_socket >= 0)
        return true;
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = parseAddress(m_address);
    setNoDelay(m_socket);
    int error = ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) ? errno : 0;
    if (error == EINPROGRESS) {
        pollfd state { m_socket, POLLOUT, 0 };
        socklen_t size = sizeof error;
        if (poll(&state, 1, timeoutMs) <= 0)
            error = ETIMEDOUT;
        else
            getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error)
        close();
    return !error;
}

std::optional<Response> Connection::call(const std::string& method, const std::string& path,
    const std::vector<std::string>& headers, const std::string& body, int timeoutMs)
{
    const auto until = Clock::now() + std::chrono::milliseconds(timeoutMs);
    if (!connect(timeoutMs))
        return std::nullopt;
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const std::string& header : headers)
        text += header + "\r\n";
    text += "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    std::string head;
    Response response;
    if (!sendAll(m_socket, text) || !readMessage(m_socket, buffer, head, response.body, until)) {
        close();
        return std::nullopt;
    }
    std::string firstLine;
    const auto fields = parseFields(head, firstLine);
    response.status = std::stoi(firstLine.substr(firstLine.find(' ') + 1));
    const auto connection = fields.find("connection");
    if (connection != fields.end() && lowerCase(connection->second) == "close")
        close();
    return response;
}

} // namespace review
