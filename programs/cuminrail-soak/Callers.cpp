#include "Callers.h"

#include "net/testing/TestSocket.h"
#include "runtime/time/BootClock.h"

#include <chrono>

namespace cuminrail::soak {

namespace {

constexpr Millis callPatience = Millis(4000);
/** A withdrawn key must have stopped working this long after its withdrawal. */
constexpr Millis withdrawalBound = Millis(5000);
constexpr int socketPatienceSeconds = 5;

bool isPromise(int status)
{
    return status == 503 || status == 429 || status == 408 || status == 421;
}

std::string eventsOf(const std::string &id)
{
    std::string all;
    for (int i = 1; i <= platform::standinEvents; ++i)
        all += platform::standinEvent(id, i);
    return all;
}

/** Takes the chunk framing out of a body. */
std::string unchunked(const std::string &text)
{
    std::string body;
    std::size_t at = 0;
    while (at < text.size()) {
        const auto end = text.find("\r\n", at);
        if (end == std::string::npos)
            return body;
        const std::size_t size = std::strtoul(text.c_str() + at, nullptr, 16);
        body += text.substr(end + 2, size);
        at = end + 2 + size + 2;
    }
    return body;
}

void checkSuccess(const CallResult &result, std::vector<std::string> &broken)
{
    const auto headEnd = result.text.find("\r\n\r\n");
    const std::string head = result.text.substr(0, headEnd);
    const std::string rest = headEnd == std::string::npos ? "" : result.text.substr(headEnd + 4);
    const bool isChunked = head.find("chunked") != std::string::npos;
    const std::string body = isChunked ? unchunked(rest) : rest;
    const bool isStream = result.kind == CallKind::Stream || result.kind == CallKind::Once;
    const std::string expected = isStream ? eventsOf(result.id) : platform::standinBody(result.id);
    if (body != expected)
        broken.push_back(result.id + ": a success with another body than the server's");
    if (platform::stampIn(head) != "stamp-" + result.id)
        broken.push_back(result.id + ": a success without its own server's stamp");
}

} // namespace

Callers::Callers(std::vector<std::uint16_t> ports, int count, std::uint64_t seed)
    : ports_(std::move(ports)), count_(count), seed_(seed)
{ }

void Callers::start()
{
    for (int i = 0; i < count_; ++i)
        threads_.emplace_back([this, i] { run(i); });
}

void Callers::stop()
{
    isStopping_ = true;
    for (std::thread &thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void Callers::run(int number)
{
    const auto random = seededRandom(seed_ * 1000 + static_cast<std::uint64_t>(number));
    testing::TestSocket socket;
    std::uint16_t gateway = 0;
    for (int call = 0; !isStopping_; ++call) {
        CallResult result;
        result.id = "r" + std::to_string(number) + "-" + std::to_string(call);
        result.kind = static_cast<CallKind>(random() % callKindNames.entries.size());
        result.customer = random() % 3 == 0 ? "south" : "north";
        if (!socket.isOpen() || random() % 8 == 0) {
            gateway = ports_[random() % ports_.size()];
            socket = testing::TestSocket::connectTo(gateway);
            if (socket.isOpen())
                socket.setTimeout(socketPatienceSeconds);
        }
        result.gateway = gateway;
        result.sentAt = bootTime();
        const auto began = std::chrono::steady_clock::now();
        const std::string path = "/" + std::string(callKindNames.name(result.kind)) + "/x";
        result.wasSent = socket.isOpen()
            && socket.send(
                platform::callerRequest(path, result.id, "key-" + result.customer, callPatience));
        if (result.wasSent)
            result.text = socket.readMessage();
        result.tookMillis =
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began)
                .count();
        result.status = result.text.size() < 12 ? 0 : std::atoi(result.text.c_str() + 9);
        const bool isChunked = result.text.find("chunked") != std::string::npos;
        const bool hasEnd =
            !isChunked || result.text.compare(result.text.size() - 5, 5, "0\r\n\r\n") == 0;
        result.isWhole = result.status != 0 && hasEnd;
        const bool closes = result.text.find("Connection: close") != std::string::npos;
        if (!result.isWhole || closes)
            socket.close();
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            results_.push_back(std::move(result));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(random() % 30));
    }
}

std::vector<CallResult> Callers::results() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return results_;
}

std::vector<std::string> judge(const std::vector<CallResult> &results,
                               const platform::ServerRequestLog &record, Millis southWithdrawnAt)
{
    std::vector<std::string> broken;
    const auto runs = record.all();
    for (const CallResult &result : results) {
        const auto found = runs.find(result.id);
        const int ran = found == runs.end() ? 0 : found->second.runs;
        const bool isRepeatable = result.kind == CallKind::Safe || result.kind == CallKind::Stream;
        if (!isRepeatable && ran > 1)
            broken.push_back(result.id + ": ran " + std::to_string(ran) + " times");
        if (!isRepeatable && isPromise(result.status) && ran > 0)
            broken.push_back(result.id + ": said not to have run, and ran");
        if (result.status >= 200 && result.status < 300 && result.isWhole)
            checkSuccess(result, broken);
        if (ran > 0 && found->second.customer != result.customer)
            broken.push_back(result.id + ": ran for another customer");
        if (ran > 0 && found->second.sawKey)
            broken.push_back(result.id + ": the key reached a server");
        const bool isWithdrawn =
            result.customer == "south" && result.sentAt > southWithdrawnAt + withdrawalBound;
        if (isWithdrawn && ran > 0)
            broken.push_back(result.id + ": ran with a key that was withdrawn "
                             + std::to_string((result.sentAt - southWithdrawnAt).count())
                             + " ms before");
    }
    return broken;
}

} // namespace cuminrail::soak
