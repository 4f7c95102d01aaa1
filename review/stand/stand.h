/**
    Stand-ins for the review's scripts: the platform's store, servers, a proxy, clients and the
    gateway's process. One thread for each connection; loopback and the real clock only.
*/
#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace stand {

using Json = nlohmann::json;

/** Milliseconds of the steady clock since the program started. */
std::int64_t now();
void sleepMs(std::int64_t millis);

/** The file record.txt: what was sent, answered and run, one line each with its time. */
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    std::mutex mutex_;
    std::FILE *file_;
};

struct Header
{
    std::string name;
    std::string value;
};

struct Message
{
    /** The request line or status line. */
    std::string start;
    std::vector<Header> headers;
    std::string body;

    std::string header(const std::string &name) const;
    bool has(const std::string &name) const;
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const;
    int status() const;
};

/** A connected socket with buffered reading. */
class Conn
{
public:
    explicit Conn(int fd) : fd_(fd) { }
    ~Conn();
    Conn(const Conn &) = delete;
    Conn &operator=(const Conn &) = delete;

    int fd() const { return fd_; }
    bool send(const std::string &bytes);
    /** Reads until the end mark, which is included; nothing at the end of the connection. */
    std::optional<std::string> readUntil(const std::string &mark, std::size_t most = 1 << 20);
    std::optional<std::string> readExactly(std::size_t size);
    std::string readToEnd();
    /** Whether the last read met the orderly end of the connection, not a reset or time-out. */
    bool hasEnded() const { return hasEnded_; }
    bool wasReset() const { return wasReset_; }
    /** Whether the other end has closed or reset the connection; reads nothing. */
    bool isClosedByPeer() const;
    void timeout(std::int64_t millis);
    void reset();
    void shutdownBoth();

private:
    bool fill();

    int fd_;
    std::string buffer_;
    bool hasEnded_ = false;
    bool wasReset_ = false;
};

/** Reads a request with its body; nothing if the connection ends before one is whole. */
std::optional<Message> readRequest(Conn &conn);

std::uint16_t freePort();
int listenOn(std::uint16_t port, int backlog = 512);
int connectTo(std::uint16_t port, std::int64_t timeoutMs);

/** Accepts connections on a port and handles each in a thread of its own. */
class Listener
{
public:
    Listener(std::uint16_t port, std::function<void(Conn &)> handle, int backlog = 512);
    ~Listener();
    std::uint16_t port() const { return port_; }
    void stop();
    /** Closes connections by a reset, a part of them, drawn by the function. */
    int resetSome(const std::function<bool()> &draw);

private:
    void run();

    std::uint16_t port_;
    int fd_;
    std::function<void(Conn &)> handle_;
    std::atomic<bool> isStopped_{false};
    std::mutex mutex_;
    std::condition_variable idle_;
    std::set<Conn *> conns_;
    int active_ = 0;
    std::thread thread_;
};

/** The platform's store: objects by kind and name, conditions, lists and watches. */
class Store
{
public:
    Store();
    /** Opens one more port; in its responses each text of the map is replaced. */
    std::uint16_t view(std::map<std::string, std::string> replaced);
    std::uint64_t write(const std::string &kind, const std::string &name, const Json &spec);
    void remove(const std::string &kind, const std::string &name);
    Json all(const std::string &kind);
    void stop();
    /** While set, calls of this view get 503. */
    void setBusy(std::uint16_t port, bool isBusy);

private:
    struct Change
    {
        std::uint64_t rev;
        std::string kind;
        Json object;
        bool removed;
    };

    void serve(Conn &conn, std::uint16_t port, const std::map<std::string, std::string> &replaced);
    std::pair<int, std::string> handle(const Message &request);
    std::pair<int, std::string> watch(const std::string &kind, std::uint64_t after,
                                      std::int64_t waitMs);
    Json put(const std::string &kind, const std::string &name, const Json &spec);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::map<std::string, Json>> objects_;
    std::vector<Change> changes_;
    std::uint64_t rev_ = 100;
    bool isStopped_ = false;
    std::set<std::uint16_t> busy_;
    std::vector<std::unique_ptr<Listener>> listeners_;
};

/** Passes bytes on between its port and a server's; can reset its connections. */
class Proxy
{
public:
    explicit Proxy(std::uint16_t target);
    std::uint16_t port() const { return listener_->port(); }
    int resetSome(const std::function<bool()> &draw) { return listener_->resetSome(draw); }
    void stop() { listener_->stop(); }

private:
    std::unique_ptr<Listener> listener_;
};

/** Ports and settings of one gateway. */
struct GatewaySettings
{
    std::string name;
    std::string zone = "zone-a";
    std::uint16_t front = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t links = 0;
    std::uint16_t store = 0;
    bool bootstrap = true;
    std::vector<std::string> seeds;
    /** More lines, each with its end. */
    std::string more;

    /** Settings as DEPLOY.md shows them, with the bounds of inteko-bundles. */
    std::string text() const;
};

/** Fills in free ports. */
GatewaySettings gatewaySettings(const std::string &name, const std::string &zone,
                                std::uint16_t store);

/** A process of the program that the deploy file starts. */
class Gateway
{
public:
    Gateway(const std::string &directory, GatewaySettings settings);
    ~Gateway();
    void start();
    void signal(int number);
    /** Returns how the process ended, if it has: "exit 0", "signal 9". */
    std::optional<std::string> ended();
    bool waitReady(std::int64_t millis);
    bool isReady() const;
    const GatewaySettings &settings() const { return settings_; }
    GatewaySettings &settings() { return settings_; }

private:
    std::string directory_;
    GatewaySettings settings_;
    int pid_ = -1;
};

/** What a client got. */
struct Answer
{
    /** 0: no head arrived. */
    int status = 0;
    std::vector<Header> headers;
    std::string body;
    /** The response is complete by its length, its last chunk, or its connection's orderly end. */
    bool isWhole = false;
    /** Not empty: bytes arrived that are no response in the protocol. */
    std::string unreadable;
    std::int64_t tookMs = 0;

    std::string header(const std::string &name) const;
    std::string text() const;
};

/** Sends one request on a new connection and reads the response. */
Answer ask(std::uint16_t port, const std::string &request, std::int64_t timeoutMs);
Answer readAnswer(Conn &conn);

/** A folder for settings and logs, outside the repository; removed at the end. */
std::string temporaryFolder();
/** Whether the run has the disruption: false with TROUBLE=0. */
bool hasTrouble();

/** Entry of kind "servers". */
Json serverEntry(const std::string &service, std::uint16_t port, const std::string &zone,
                 int slots = 64, const std::string &version = "v1");
/** Head of a server's success up to, without, the blank line. */
std::string successHead(const Message &request, const std::string &type);
std::string chunk(const std::string &data);

} // namespace stand
