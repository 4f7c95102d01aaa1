#pragma once

/** Servers whose answers end with their connection, and requests for such answers. */

#include "stand.h"

#include <list>

namespace stand {

inline constexpr int eventsOfStream = 20;
inline constexpr int eventMs = 150;
inline constexpr std::size_t bodyBytes = 4000;

inline std::string eventText(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "-" + std::to_string(number)
        + "\n\n";
}

inline std::string bodyText(const std::string &id)
{
    std::string body = "answer to " + id + ": ";
    while (body.size() < bodyBytes)
        body += static_cast<char>('a' + body.size() % 26);
    return body;
}

/** A sound server. Answers on /once/, /again/ and /lodge/ end with their connection. */
inline int runServer(int port, const std::string &id)
{
    HttpListener listener(
        [&](int fd, const Message &m) {
            const std::string requestId = m.header("Request-Id");
            if (m.target() == "/health")
                return sendAll(fd, response(200, "", "Instance-Id: " + id + "\r\n"));
            if (!m.header("Expect-Instance").empty() && m.header("Expect-Instance") != id)
                return sendAll(fd, response(421, "", "Request-Id: " + requestId + "\r\n"));
            std::printf("runs %s for %s\n", requestId.c_str(), m.header("Tenant").c_str());
            std::fflush(stdout);
            const std::string head =
                "Request-Id: " + requestId + "\r\nResponse-Stamp: " + id + ".0.1\r\n";
            if (m.target().compare(0, 8, "/status/") == 0)
                return sendAll(fd, response(200, "status of " + requestId, head));
            const std::string open = "HTTP/1.1 200 OK\r\n" + head + "Connection: close\r\n";
            if (m.target().compare(0, 7, "/lodge/") == 0) {
                const std::string body = bodyText(requestId);
                sendAll(fd, open + "Content-Type: text/plain\r\n\r\n" + body.substr(0, 1000));
                sleepMs(eventMs * eventsOfStream);
                sendAll(fd, body.substr(1000));
                return false;
            }
            int first = 1;
            if (!m.header("Last-Event-Id").empty())
                first = std::atoi(m.header("Last-Event-Id").c_str()) + 1;
            if (!sendAll(fd, open + "Content-Type: text/event-stream\r\n\r\n"))
                return false;
            for (int i = first; i <= eventsOfStream; ++i) {
                sleepMs(eventMs);
                if (!sendAll(fd, eventText(requestId, i)))
                    return false;
            }
            return false;
        },
        "127.0.0.1", port);
    for (;;)
        pause();
}

struct Sent
{
    std::string path;
    std::string id;
    Answer answer;
    std::thread thread;

    std::string ownBody() const
    {
        if (path == "/lodge/x")
            return bodyText(id);
        std::string body;
        for (int i = 1; i <= eventsOfStream; ++i)
            body += eventText(id, i);
        return body;
    }
};

/** Sends a request to a machine and reads its answer, in a thread of its own. */
inline void sendInThread(Record &record, const Machine &machine, Sent &sent)
{
    sent.thread = std::thread([&record, &machine, &sent] {
        record.line("client sends %s %s to %s", sent.id.c_str(), sent.path.c_str(),
                    machine.name().c_str());
        sent.answer = call(machine.ip(), machine.front(),
                           request("POST", sent.path, sent.id, 6000, "for " + sent.id), 8000);
        record.line("client got %s: status %d, %zu bytes, ended by %s", sent.id.c_str(),
                    sent.answer.status, sent.answer.body.size(), sent.answer.how.c_str());
    });
}

/** Answers that look whole, and how many of these are not. */
struct Verdict
{
    int whole = 0;
    int truncated = 0;
    void judge(Record &record, const Sent &sent)
    {
        if (sent.answer.status != 200 || !sent.answer.isWhole)
            return;
        const std::string own = sent.ownBody();
        if (sent.answer.body == own) {
            ++whole;
            return;
        }
        ++truncated;
        record.line("BROKEN: %s looks complete with %zu of the server's %zu bytes", sent.id.c_str(),
                    sent.answer.body.size(), own.size());
    }
    int report(Record &record) const
    {
        record.line("%d answers whole, %d that only look whole", whole, truncated);
        std::printf("%d answers whole, %d that only look whole\n", whole, truncated);
        if (truncated > 0)
            return 1;
        return whole == 0 ? 2 : 0;
    }
};

} // namespace stand
