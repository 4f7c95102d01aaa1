#pragma once

#include "standin/faults/FaultPlan.h"
#include "standin/server/Recorder.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

namespace cuminrail::standin {

namespace detail {
class Connection;
}

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Headers = std::vector<std::pair<std::string, std::string>>;

/**
    One request and the way to answer it.

    The fault that hit the request is applied here, so that handlers answer as if nothing were
    wrong. Answering twice is a programming error.
*/
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(std::shared_ptr<detail::Connection> connection, Request request, Record &record,
             std::optional<FaultRule> fault);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;
    ~Exchange() = default;

    const Request &request() const { return request_; }
    /** The target without its query, percent-decoded. */
    const std::string &path() const { return path_; }
    /** A query parameter, percent-decoded, or an empty string. */
    std::string query(const std::string &name) const;
    /** A header, or an empty string. */
    std::string header(const std::string &name) const;

    const std::optional<FaultRule> &fault() const { return fault_; }

    /** Notes in the record that the request took effect. */
    void markRan() { record_.ran = true; }
    void note(std::string text) { record_.note = std::move(text); }

    void answer(unsigned status, const nlohmann::json &body, const Headers &headers = {});
    void answerText(unsigned status, std::string body, const std::string &contentType,
                    const Headers &headers = {});

    /** Begins a chunked answer of server-sent events. */
    void beginEvents(const Headers &headers);
    /** Sends events, each one whole; @p done gets false when the connection is gone. */
    void sendEvents(const std::vector<std::string> &events, std::function<void(bool)> done);
    void endEvents();

    /** Called once when the caller closes the connection before the answer is whole. */
    std::function<void()> onCallerDisconnected;

    /** Called by the connection when the caller left. */
    void callerLeft();
    /** Closes with a reset, as a crashing process does. */
    void reset();

private:
    void sendNow(std::string wire);
    void breakOff();
    bool isBreaking() const;

    std::shared_ptr<detail::Connection> connection_;
    Request request_;
    Record &record_;
    std::optional<FaultRule> fault_;
    std::string path_;
    std::string query_;
    std::string unsentHead_;
    std::uint32_t eventsSent_ = 0;
    bool isOver_ = false;
};

/** Returns a text with percent signs and plus decoded. */
std::string percentDecoded(std::string_view text);

} // namespace cuminrail::standin
