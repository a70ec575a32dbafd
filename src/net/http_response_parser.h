#pragma once

#include "net/http.h"

#include <cstddef>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace anvilmoor::net {

constexpr std::size_t maxHeaderBytes = 64U * 1024U;

// Parses one HTTP/1.1 response, received in pieces of any size, with the http-parser library. In addition, it
// requires Content-Length or chunked encoding, and limits the size of the header and of the body.
class HttpResponseParser {
public:
    enum class Status { NeedsMore, Done, Malformed, TooLarge };

    // Responses to HEAD have no body.
    explicit HttpResponseParser(bool isBodyless);
    HttpResponseParser(const HttpResponseParser&) = delete;
    HttpResponseParser& operator=(const HttpResponseParser&) = delete;

    // After Done, Malformed or TooLarge, further bytes are ignored.
    Status feed(std::string_view);

    bool hasBytes() const { return m_hasBytes; }
    // Valid after Done. True if the server keeps the connection open and sent no bytes after the response.
    bool isReusable() const { return m_isReusable; }
    const std::string& problem() const { return m_problem; }
    HttpResponse takeResponse() { return std::move(m_response); }

private:
    static const http_parser_settings& callbacks();
    static HttpResponseParser& of(http_parser*);

    // Return 0 to continue. For other values see fail() and onHeadersComplete().
    int addToHeader(std::string_view, bool isName);
    int onHeadersComplete();
    int onChunkHeader();
    int onBody(std::string_view);
    int onMessageComplete();
    int fail(Status, std::string problem);

    http_parser m_parser {};
    bool m_isBodyless;
    bool m_hasBytes = false;
    bool m_isReusable = false;
    bool m_isLastName = false; // the last header piece was a name
    Status m_status = Status::NeedsMore;
    std::size_t m_headerBytes = 0;
    std::string m_problem;
    HttpResponse m_response;
};

} // namespace anvilmoor::net
