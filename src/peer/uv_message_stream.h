#pragma once

#include "net/traffic.h"

#include <capnp/serialize-async.h>
#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <uv.h>
#include <vector>

namespace anvilmoor::peer {

// A larger message closes the connection. Leaves room for a configuration document at the HTTP body limit,
// which is 8 MiB.
constexpr std::size_t maxMessageBytes = 10U * 1024U * 1024U;
// A connection with more unsent bytes is closed.
constexpr std::size_t maxUnsentBytes = 12U * 1024U * 1024U;

// Sends and receives Cap'n Proto messages over a TCP connection on a libuv loop. A frame is the length in 4
// bytes, little-endian, followed by the message in packed encoding. Packing halves the size of heartbeats,
// which count against the control budget.
class UvMessageStream final : public capnp::MessageStream {
public:
    // Takes ownership of a connected handle created by newTcpHandle().
    explicit UvMessageStream(uv_tcp_t*);
    ~UvMessageStream() noexcept;
    UvMessageStream(const UvMessageStream&) = delete;
    UvMessageStream& operator=(const UvMessageStream&) = delete;

    static uv_tcp_t* newTcpHandle(uv_loop_t*);
    static void closeTcpHandle(uv_tcp_t*);

    bool isClosed() const { return !m_tcp; }
    // Closes immediately: a pending read is rejected, and later writes fail.
    void close();
    std::size_t unsentBytes() const;
    // Complete messages received since construction.
    std::size_t messagesReceived() const { return m_messagesReceived; }
    // Counts the messages sent and received from now on, RPC replies included.
    void setTrafficCounters(std::shared_ptr<net::Traffic> traffic) { m_traffic = std::move(traffic); }
    const std::string& closeReason() const { return m_closeReason; }

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fdSpace,
        capnp::ReaderOptions, kj::ArrayPtr<capnp::word> scratchSpace) override;
    kj::Promise<void> writeMessage(
        kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(
        kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override { return nullptr; }
    kj::Promise<void> end() override { return kj::READY_NOW; }

private:
    using Message = kj::Maybe<capnp::MessageReaderAndFds>;

    static void onAllocate(uv_handle_t*, std::size_t, uv_buf_t*);
    static void onRead(uv_stream_t*, ssize_t, const uv_buf_t*);
    void receive(const char* data, std::size_t size);
    bool takeFrame();
    void fail(std::string reason);
    void fulfillReader();
    void pauseOrResume();

    uv_tcp_t* m_tcp;
    std::string m_closeReason;
    std::vector<char> m_readBuffer;
    std::vector<char> m_received; // bytes of a message that is not complete yet
    std::deque<kj::Own<capnp::MessageReader>> m_messages;
    std::optional<kj::Own<kj::PromiseFulfiller<Message>>> m_reader;
    std::size_t m_messagesReceived = 0;
    std::shared_ptr<net::Traffic> m_traffic = std::make_shared<net::Traffic>();
    bool m_isReading = false;
};

} // namespace anvilmoor::peer
