#include "peer/uv_message_stream.h"

#include <algorithm>
#include <array>
#include <capnp/serialize-packed.h>
#include <cstdint>
#include <cstring>
#include <kj/exception.h>
#include <kj/io.h>
#include <memory>
#include <utility>

namespace anvilmoor::peer {

namespace {

constexpr std::size_t lengthBytes = 4;
constexpr std::size_t readBufferBytes = 64U * 1024U;
// Reading pauses while this many messages wait for the RPC system.
constexpr std::size_t maxWaitingMessages = 64;

struct WriteRequest {
    uv_write_t request;
    std::vector<char> bytes;
};

std::size_t decodeLength(const char* bytes)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < lengthBytes; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8U * i);
    return length;
}

// Copies all segments immediately: a reader that still has to read could detect a truncated message only in
// its destructor, and throw there.
kj::Own<capnp::MessageReader> unpack(kj::ArrayPtr<const kj::byte> packed)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = maxMessageBytes / sizeof(capnp::word);
    kj::ArrayInputStream input(packed);
    capnp::PackedMessageReader reader(input, options);
    kj::Vector<kj::Array<capnp::word>> copies;
    for (unsigned id = 0;; ++id) {
        const auto segment = reader.getSegment(id);
        if (segment == nullptr)
            break;
        auto copy = kj::heapArray<capnp::word>(segment.size());
        if (segment.size() > 0)
            std::memcpy(copy.begin(), segment.begin(), segment.size() * sizeof(capnp::word));
        copies.add(kj::mv(copy));
    }
    auto segments = kj::heapArrayBuilder<kj::ArrayPtr<const capnp::word>>(copies.size());
    for (auto& copy : copies)
        segments.add(copy.asPtr());
    auto table = segments.finish();
    const auto view = table.asPtr();
    return kj::heap<capnp::SegmentArrayMessageReader>(view, options).attach(kj::mv(table), kj::mv(copies));
}

kj::Exception disconnected(const std::string& reason)
{
    return { kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(reason.c_str()) };
}

} // namespace

uv_tcp_t* UvMessageStream::newTcpHandle(uv_loop_t* loop)
{
    auto* tcp = new uv_tcp_t;
    uv_tcp_init(loop, tcp);
    tcp->data = nullptr;
    return tcp;
}

void UvMessageStream::closeTcpHandle(uv_tcp_t* tcp)
{
    tcp->data = nullptr;
    uv_close(reinterpret_cast<uv_handle_t*>(tcp),
        [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
}

UvMessageStream::UvMessageStream(uv_tcp_t* tcp)
    : m_tcp(tcp)
    , m_readBuffer(readBufferBytes)
{
    m_tcp->data = this;
    // With Nagle's algorithm, calls would wait for delayed acknowledgements.
    uv_tcp_nodelay(m_tcp, 1);
    pauseOrResume();
}

UvMessageStream::~UvMessageStream() noexcept { close(); }

void UvMessageStream::close() { fail("closed"); }

std::size_t UvMessageStream::unsentBytes() const
{
    return m_tcp ? uv_stream_get_write_queue_size(reinterpret_cast<const uv_stream_t*>(m_tcp)) : 0;
}

void UvMessageStream::fail(std::string reason)
{
    if (!m_tcp)
        return;
    m_closeReason = std::move(reason);
    closeTcpHandle(std::exchange(m_tcp, nullptr));
    if (m_reader) {
        auto reader = kj::mv(*m_reader);
        m_reader.reset();
        reader->reject(disconnected(m_closeReason));
    }
}

void UvMessageStream::pauseOrResume()
{
    if (!m_tcp)
        return;
    const bool shouldRead = m_messages.size() < maxWaitingMessages;
    if (shouldRead == m_isReading)
        return;
    m_isReading = shouldRead;
    auto* stream = reinterpret_cast<uv_stream_t*>(m_tcp);
    if (shouldRead)
        uv_read_start(stream, onAllocate, onRead);
    else
        uv_read_stop(stream);
}

void UvMessageStream::onAllocate(uv_handle_t* handle, std::size_t /*suggested*/, uv_buf_t* buffer)
{
    auto* self = static_cast<UvMessageStream*>(handle->data);
    if (self)
        *buffer = uv_buf_init(self->m_readBuffer.data(), static_cast<unsigned>(self->m_readBuffer.size()));
    else
        *buffer = uv_buf_init(nullptr, 0);
}

void UvMessageStream::onRead(uv_stream_t* stream, ssize_t size, const uv_buf_t* buffer)
{
    auto* self = static_cast<UvMessageStream*>(stream->data);
    if (!self || size == 0)
        return;
    if (size < 0)
        self->fail(uv_strerror(static_cast<int>(size)));
    else
        self->receive(buffer->base, static_cast<std::size_t>(size));
}

void UvMessageStream::receive(const char* data, std::size_t size)
{
    m_received.insert(m_received.end(), data, data + size);
    m_traffic->bytesReceived += size;
    while (takeFrame()) {
        ++m_messagesReceived;
        ++m_traffic->messagesReceived;
    }
    fulfillReader();
    pauseOrResume();
}

bool UvMessageStream::takeFrame()
{
    if (!m_tcp || m_received.size() < lengthBytes)
        return false;
    const std::size_t length = decodeLength(m_received.data());
    if (length == 0 || length > maxMessageBytes) {
        fail("length of incoming message is 0 or exceeds the limit");
        return false;
    }
    if (m_received.size() < lengthBytes + length)
        return false;
    const auto* packed = reinterpret_cast<const kj::byte*>(m_received.data() + lengthBytes);
    KJ_IF_MAYBE (exception,
        kj::runCatchingExceptions([&] { m_messages.push_back(unpack(kj::arrayPtr(packed, length))); })) {
        fail(std::string("malformed message: ") + exception->getDescription().cStr());
        return false;
    }
    m_received.erase(
        m_received.begin(), m_received.begin() + static_cast<std::ptrdiff_t>(lengthBytes + length));
    return true;
}

void UvMessageStream::fulfillReader()
{
    if (!m_reader || m_messages.empty())
        return;
    auto reader = kj::mv(*m_reader);
    m_reader.reset();
    auto message = kj::mv(m_messages.front());
    m_messages.pop_front();
    reader->fulfill(Message(capnp::MessageReaderAndFds { kj::mv(message), nullptr }));
}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>> UvMessageStream::tryReadMessage(
    kj::ArrayPtr<kj::AutoCloseFd> /*fdSpace*/, capnp::ReaderOptions /*options*/,
    kj::ArrayPtr<capnp::word> /*scratchSpace*/)
{
    if (!m_messages.empty()) {
        auto message = kj::mv(m_messages.front());
        m_messages.pop_front();
        pauseOrResume();
        return Message(capnp::MessageReaderAndFds { kj::mv(message), nullptr });
    }
    if (!m_tcp)
        return disconnected(m_closeReason);
    auto pair = kj::newPromiseAndFulfiller<Message>();
    m_reader.emplace(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

kj::Promise<void> UvMessageStream::writeMessage(
    kj::ArrayPtr<const int> /*fds*/, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    if (!m_tcp)
        return disconnected(m_closeReason);
    kj::VectorOutputStream output;
    const std::array<kj::byte, lengthBytes> placeholder {};
    output.write(placeholder.data(), placeholder.size());
    capnp::writePackedMessage(output, segments);
    const auto packed = output.getArray();
    const std::size_t length = packed.size() - lengthBytes;
    if (length > maxMessageBytes || unsentBytes() + packed.size() > maxUnsentBytes) {
        fail(length > maxMessageBytes ? "length of outgoing message exceeds the limit"
                                      : "unsent bytes exceed the limit");
        return disconnected(m_closeReason);
    }
    auto write = std::make_unique<WriteRequest>();
    write->bytes.assign(packed.begin(), packed.end());
    for (std::size_t i = 0; i < lengthBytes; ++i)
        write->bytes[i] = static_cast<char>((length >> (8U * i)) & 0xffU);
    write->request.data = write.get();
    const uv_buf_t buffer = uv_buf_init(write->bytes.data(), static_cast<unsigned>(write->bytes.size()));
    const int error = uv_write(&write->request, reinterpret_cast<uv_stream_t*>(m_tcp), &buffer, 1,
        [](uv_write_t* request, int /*status*/) { delete static_cast<WriteRequest*>(request->data); });
    if (error != 0) {
        fail(uv_strerror(error));
        return disconnected(m_closeReason);
    }
    ++m_traffic->messagesSent;
    m_traffic->bytesSent += write->bytes.size();
    (void)write.release(); // deleted by the write callback
    // The bytes are copied and their number is bounded above, so the RPC system need not wait for the write.
    // A failed write is detected by a failed read or by the silence of the peer.
    return kj::READY_NOW;
}

kj::Promise<void> UvMessageStream::writeMessages(
    kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    for (auto& message : messages) {
        if (!m_tcp)
            return disconnected(m_closeReason);
        // The promise can be ignored: it is already resolved, and a failure has closed the stream.
        (void)writeMessage(nullptr, message);
    }
    return m_tcp ? kj::Promise<void>(kj::READY_NOW) : kj::Promise<void>(disconnected(m_closeReason));
}

} // namespace anvilmoor::peer
