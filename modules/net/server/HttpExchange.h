#pragma once

#include "net/http/HttpHead.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrail {

/** A whole answer. Length and connection headers are added on the way out. */
struct HttpAnswer
{
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
};

/**
    One request on a server connection and the way to answer it. Belongs to one thread.

    Answer with respond(), or with beginStream(), write()… and finish() or abort(). Hooks set here
    are dropped when the answer is over. Once it is over everything here does nothing any more,
    also when the connection has gone on to its next request: an answer that is ready too late
    must not end up in that request's answer.
*/
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpHead &head() const = 0;
    /** The request's body; may be moved from. */
    virtual std::string &body() = 0;

    virtual void respond(const HttpAnswer &answer) = 0;
    virtual void beginStream(int status, const std::vector<HttpHeader> &headers) = 0;
    virtual void write(std::string_view data) = 0;
    virtual void finish() = 0;
    /** Ends a stream so that the caller cannot take what it got for the whole: by a reset. */
    virtual void abort() = 0;
    /** Sends last words, then closes without the end mark that a whole stream has. */
    virtual void finishCut(std::string_view lastWords) = 0;

    /** Returns true while the caller reads too slowly; write no more until onWritable. */
    virtual bool isCongested() const = 0;
    virtual void onWritable(std::function<void()> hook) = 0;
    /** Called when the caller has closed the connection or stopped reading for too long. */
    virtual void onCallerLeft(std::function<void()> hook) = 0;
};

} // namespace cuminrail
