#include "net/http_response_parser.h"

#include <limits>

namespace anvilmoor::net {

namespace {

constexpr int statusSwitchingProtocols = 101;
constexpr int firstFinalStatus = 200;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;

// Reported by http-parser for a response without Content-Length.
constexpr auto unknownLength = std::numeric_limits<std::uint64_t>::max();

bool hasNoBody(int status)
{
    return status < firstFinalStatus || status == statusNoContent || status == statusNotModified;
}

} // namespace

HttpResponseParser::HttpResponseParser(bool isBodyless)
    : m_isBodyless(isBodyless)
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    m_parser.data = this;
}

HttpResponseParser& HttpResponseParser::of(http_parser* parser)
{
    return *static_cast<HttpResponseParser*>(parser->data);
}

const http_parser_settings& HttpResponseParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings result {};
        result.on_header_field = [](http_parser* parser, const char* data, std::size_t size) {
            return of(parser).addToHeader({ data, size }, true);
        };
        result.on_header_value = [](http_parser* parser, const char* data, std::size_t size) {
            return of(parser).addToHeader({ data, size }, false);
        };
        result.on_headers_complete = [](http_parser* parser) { return of(parser).onHeadersComplete(); };
        result.on_chunk_header = [](http_parser* parser) { return of(parser).onChunkHeader(); };
        result.on_body = [](http_parser* parser, const char* data, std::size_t size) {
            return of(parser).onBody({ data, size });
        };
        result.on_message_complete = [](http_parser* parser) { return of(parser).onMessageComplete(); };
        return result;
    }();
    return settings;
}

HttpResponseParser::Status HttpResponseParser::feed(std::string_view bytes)
{
    if (m_status != Status::NeedsMore || bytes.empty())
        return m_status;
    m_hasBytes = true;
    const std::size_t consumed = http_parser_execute(&m_parser, &callbacks(), bytes.data(), bytes.size());
    if (m_status == Status::Done) {
        m_isReusable = consumed == bytes.size() && http_should_keep_alive(&m_parser) != 0;
    } else if (m_status == Status::NeedsMore && HTTP_PARSER_ERRNO(&m_parser) != HPE_OK) {
        m_problem = http_errno_description(HTTP_PARSER_ERRNO(&m_parser));
        m_status = Status::Malformed;
    }
    return m_status;
}

// Returns -1, which stops the parser from every callback. From on_headers_complete, 1 and 2 would mean that
// there is no body.
int HttpResponseParser::fail(Status status, std::string problem)
{
    m_status = status;
    m_problem = std::move(problem);
    return -1;
}

// Names and values alternate, and each may be received in several pieces.
int HttpResponseParser::addToHeader(std::string_view piece, bool isName)
{
    m_headerBytes += piece.size();
    if (m_headerBytes > maxHeaderBytes)
        return fail(Status::Malformed, "the header of the response exceeds 64 KiB");
    const bool isNew = m_response.headers.empty() || !m_isLastName;
    if (isName && isNew)
        m_response.headers.emplace_back();
    HttpHeader& header = m_response.headers.back();
    (isName ? header.name : header.value).append(piece);
    m_isLastName = isName;
    return 0;
}

int HttpResponseParser::onHeadersComplete()
{
    // The library reports trailer fields as further headers. The first one must start a new header.
    m_isLastName = false;
    const int status = m_parser.status_code;
    m_response.status = status;
    if (status == statusSwitchingProtocols)
        return fail(Status::Malformed, "the server switched protocols without a request to do so");
    if (m_isBodyless || hasNoBody(status))
        return 1; // the library skips the body
    const bool isChunked = (m_parser.flags & F_CHUNKED) != 0;
    if (!isChunked && m_parser.content_length == unknownLength)
        return fail(Status::Malformed, "neither Content-Length nor chunked encoding");
    if (!isChunked && m_parser.content_length > maxBodyBytes)
        return fail(Status::TooLarge, "the response's body is too large");
    return 0;
}

// The library stores the size of the chunk in content_length.
int HttpResponseParser::onChunkHeader()
{
    if (m_parser.content_length > maxBodyBytes - m_response.body.size())
        return fail(Status::TooLarge, "the response's body is too large");
    return 0;
}

int HttpResponseParser::onBody(std::string_view piece)
{
    if (m_response.body.size() + piece.size() > maxBodyBytes)
        return fail(Status::TooLarge, "the response's body is too large");
    m_response.body.append(piece);
    return 0;
}

int HttpResponseParser::onMessageComplete()
{
    // Informational responses precede the final one and are discarded.
    if (m_response.status < firstFinalStatus) {
        m_response = {};
        m_isLastName = false;
        return 0;
    }
    m_status = Status::Done;
    // Further bytes do not belong to the response.
    http_parser_pause(&m_parser, 1);
    return 0;
}

} // namespace anvilmoor::net
