#pragma once

#include "net/http/HttpHead.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrail {

/** A complete response. Length and connection headers are added when it is sent. */
struct HttpResponse
{
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
};

/**
    One request on a server connection and the means to respond to it. Confined to one thread.

    Respond with respond(), or with beginStream(), write()… and finish() or abort(). A call out of
    this order is a fault of the program: it writes nothing and breaks the response off, so that the
    caller cannot take it for whole. Hooks are removed when the response has ended. A late call does
    not touch the connection's next request. Once the caller has left, calls have no effect.
*/
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpHead &head() const = 0;
    /** The request's body; may be moved from. */
    virtual std::string &body() = 0;

    virtual void respond(const HttpResponse &response) = 0;
    virtual void beginStream(int status, const std::vector<HttpHeader> &headers) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void finish() = 0;
    /** Ends a stream with a TCP reset, so that the caller cannot mistake it for complete. */
    virtual void abort() = 0;
    /** Sends final data, then closes without the last chunk that marks a complete stream. */
    virtual void finishTruncated(std::string_view finalData) = 0;

    /** Returns true while the caller reads too slowly; wait for onWritable before writing more. */
    virtual bool isCongested() const = 0;
    virtual void onWritable(std::function<void()> hook) = 0;
    /** Sets the hook called when the caller closed the connection or stopped reading too long. */
    virtual void onCallerDisconnected(std::function<void()> hook) = 0;
};

} // namespace cuminrail
