#include "support/fault_relay.h"

#include "support/reserved_port.h"

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <deque>
#include <fcntl.h>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace anvilmoor::testing {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t readBytes = 65'536;
constexpr int pollTimeoutMs = 5;

struct Chunk {
    Clock::time_point due;
    std::string bytes;
};

// One direction of a connection.
struct Flow {
    int from = -1;
    int to = -1;
    bool isDropping = false;
    bool hasEnded = false;
    std::string tail; // last bytes received, to find a text that spans two reads
    std::deque<Chunk> waiting;
};

struct Connection {
    Flow toTarget;
    Flow fromTarget;
    bool isBroken = false;
};

void reset(int descriptor)
{
    const linger abort { 1, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close(descriptor);
}

int connectTo(std::uint16_t port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopbackAddress(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

void configureSocket(int descriptor)
{
    const int yes = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

} // namespace

class FaultRelay::Worker {
public:
    explicit Worker(std::uint16_t targetPort)
        : m_targetPort(targetPort)
        , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
    {
        bindAnyPort(m_listener);
        listen(m_listener, 128);
        port = portOf(m_listener);
        m_thread = std::thread([this] { run(); });
    }

    ~Worker()
    {
        m_isStopping = true;
        m_thread.join();
        close(m_listener);
        for (Connection& connection : m_connections)
            closeSockets(connection);
    }

    std::uint16_t port = 0;
    std::atomic<Fault> fault = Fault::None;
    std::atomic<int> delayMs = 0;
    std::atomic<std::uint64_t> matches = 0;
    std::mutex textMutex;
    std::string dropTrigger;
    std::string countedText;

private:
    void run()
    {
        while (!m_isStopping) {
            std::vector<pollfd> descriptors { { m_listener, POLLIN, 0 } };
            for (const Connection& connection : m_connections) {
                descriptors.push_back(
                    { connection.toTarget.hasEnded ? -1 : connection.toTarget.from, POLLIN, 0 });
                descriptors.push_back(
                    { connection.fromTarget.hasEnded ? -1 : connection.fromTarget.from, POLLIN, 0 });
            }
            poll(descriptors.data(), descriptors.size(), pollTimeoutMs);
            std::size_t index = 1;
            const Fault current = fault;
            for (Connection& connection : m_connections) {
                connection.toTarget.isDropping
                    |= current == Fault::DropToTarget || current == Fault::DropBoth;
                connection.fromTarget.isDropping
                    |= current == Fault::DropFromTarget || current == Fault::DropBoth;
                for (Flow* flow : { &connection.toTarget, &connection.fromTarget }) {
                    if (descriptors[index++].revents != 0)
                        receive(connection, *flow);
                    forward(connection, *flow);
                }
                if (current == Fault::Cut)
                    connection.isBroken = true;
            }
            for (auto item = m_connections.begin(); item != m_connections.end();) {
                const bool isOver = item->isBroken || (item->toTarget.hasEnded && item->fromTarget.hasEnded);
                if (isOver)
                    closeSockets(*item);
                item = isOver ? m_connections.erase(item) : std::next(item);
            }
            if (descriptors[0].revents != 0)
                acceptOne(current);
        }
    }

    void acceptOne(Fault current)
    {
        const int client = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0)
            return;
        const int target = current == Fault::Cut ? -1 : connectTo(m_targetPort);
        if (target < 0) {
            reset(client);
            return;
        }
        configureSocket(client);
        configureSocket(target);
        Connection connection;
        connection.toTarget.from = connection.fromTarget.to = client;
        connection.toTarget.to = connection.fromTarget.from = target;
        m_connections.push_back(std::move(connection));
    }

    void receive(Connection& connection, Flow& flow)
    {
        std::string bytes(readBytes, '\0');
        const ssize_t count = read(flow.from, bytes.data(), bytes.size());
        if (count < 0) {
            connection.isBroken |= errno != EAGAIN && errno != EINTR;
            return;
        }
        if (count == 0) {
            flow.hasEnded = true;
            if (flow.waiting.empty() && !flow.isDropping)
                shutdown(flow.to, SHUT_WR);
            return;
        }
        bytes.resize(static_cast<std::size_t>(count));
        if (&flow == &connection.toTarget)
            matchTexts(flow, bytes);
        if (flow.isDropping)
            return;
        const auto delay = std::chrono::milliseconds(&flow == &connection.toTarget ? delayMs.load() : 0);
        flow.waiting.push_back({ Clock::now() + delay, std::move(bytes) });
    }

    void matchTexts(Flow& flow, const std::string& bytes)
    {
        const std::lock_guard lock(textMutex);
        const std::string text = flow.tail + bytes;
        flow.isDropping |= !dropTrigger.empty() && text.find(dropTrigger) != std::string::npos;
        const std::size_t begin
            = flow.tail.size() >= countedText.size() ? flow.tail.size() - countedText.size() + 1 : 0;
        for (std::size_t at = begin; !countedText.empty() && !flow.isDropping;) {
            at = text.find(countedText, at);
            if (at == std::string::npos)
                break;
            ++matches;
            at += countedText.size();
        }
        constexpr std::size_t tailBytes = 64;
        flow.tail = text.size() > tailBytes ? text.substr(text.size() - tailBytes) : text;
    }

    static void forward(Connection& connection, Flow& flow)
    {
        while (!flow.waiting.empty() && flow.waiting.front().due <= Clock::now() && !flow.isDropping) {
            std::string& bytes = flow.waiting.front().bytes;
            const ssize_t count = send(flow.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count < 0) {
                connection.isBroken |= errno != EAGAIN && errno != EINTR;
                return;
            }
            bytes.erase(0, static_cast<std::size_t>(count));
            if (!bytes.empty())
                return;
            flow.waiting.pop_front();
            if (flow.hasEnded && flow.waiting.empty())
                shutdown(flow.to, SHUT_WR);
        }
    }

    static void closeSockets(Connection& connection)
    {
        for (const int descriptor : { connection.toTarget.from, connection.toTarget.to }) {
            if (connection.isBroken)
                reset(descriptor);
            else
                close(descriptor);
        }
    }

    std::uint16_t m_targetPort;
    int m_listener;
    std::list<Connection> m_connections;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

FaultRelay::FaultRelay(std::uint16_t targetPort)
    : m_worker(std::make_unique<Worker>(targetPort))
{
}

FaultRelay::~FaultRelay() = default;

std::uint16_t FaultRelay::port() const { return m_worker->port; }

void FaultRelay::setFault(Fault fault) { m_worker->fault = fault; }

void FaultRelay::setDropTrigger(std::string text)
{
    const std::lock_guard lock(m_worker->textMutex);
    m_worker->dropTrigger = std::move(text);
}

void FaultRelay::setDelay(int milliseconds) { m_worker->delayMs = milliseconds; }

void FaultRelay::countMatches(std::string text)
{
    const std::lock_guard lock(m_worker->textMutex);
    m_worker->countedText = std::move(text);
    m_worker->matches = 0;
}

std::uint64_t FaultRelay::matches() const { return m_worker->matches; }

} // namespace anvilmoor::testing
