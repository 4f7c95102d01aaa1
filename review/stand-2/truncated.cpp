/**
    A server crashes in the middle of answers that end with their connection, while the machine that
    passes them on has lost the path for new connections to all servers.

    Usage: truncated FOLDER; "truncated server PORT ID" for one server
*/

#include "stand.h"

using namespace stand;

namespace {

constexpr int eventsOfStream = 20;
constexpr int eventMs = 150;
constexpr std::size_t bodyBytes = 4000;

std::string eventText(const std::string &id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + id + "-" + std::to_string(number)
        + "\n\n";
}

std::string bodyText(const std::string &id)
{
    std::string body = "answer to " + id + ": ";
    while (body.size() < bodyBytes)
        body += static_cast<char>('a' + body.size() % 26);
    return body;
}

/** A sound server. Answers on /once/, /again/ and /lodge/ end with their connection. */
int runServer(int port, const std::string &id)
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

int runCase(const std::string &folder, const std::string &self)
{
    const bool isTroubled = hasTrouble();
    Deployment site(folder + "/record.txt", 3, 6, self);
    Record &record = site.record;
    if (!site.start())
        return 2;
    sleepMs(2500);
    Deployment::Node &node = *site.nodes[0];
    const Machine &machine = *node.machine;
    std::list<Sent> all;
    for (int i = 0; i < 6; ++i) {
        const std::string number = std::to_string(i);
        all.push_back({"/once/x", "once-" + number, {}, {}});
        all.push_back({"/again/x", "again-" + number, {}, {}});
        all.push_back({"/lodge/x", "lodge-" + number, {}, {}});
    }
    for (Sent &each : all) {
        each.thread = std::thread([&record, &machine, &each] {
            record.line("client sends %s %s to %s", each.id.c_str(), each.path.c_str(),
                        machine.name().c_str());
            each.answer = call(machine.ip(), machine.front(),
                               request("POST", each.path, each.id, 6000, "x"), 8000);
            record.line("client got %s: status %d, %zu bytes, ended by %s", each.id.c_str(),
                        each.answer.status, each.answer.body.size(), each.answer.how.c_str());
        });
        sleepMs(5);
    }
    // Ordinary requests go on beside them.
    std::atomic<bool> isOver{false};
    std::thread traffic([&] {
        for (int i = 0; !isOver; ++i) {
            const std::string id = "status-" + std::to_string(i);
            const Answer answer =
                call(machine.ip(), machine.front(), request("GET", "/status/x", id, 2000), 3000);
            record.line("client got %s: status %d (%s)", id.c_str(), answer.status,
                        answer.how.c_str());
            sleepMs(100);
        }
    });
    sleepMs(700);
    if (isTroubled) {
        node.cutFromServers(false);
        record.line("%s is partitioned from all servers: new connections are refused, those that "
                    "are open live on",
                    machine.name().c_str());
    }
    sleepMs(800);
    if (isTroubled) {
        site.servers[0]->process.kill(SIGKILL);
        record.line("server %s crashes", site.servers[0]->id.c_str());
    }
    sleepMs(1500);
    if (isTroubled) {
        node.heal();
        record.line("the partition is over");
    }
    for (Sent &each : all)
        each.thread.join();
    isOver = true;
    traffic.join();
    int truncated = 0;
    int whole = 0;
    for (const Sent &each : all) {
        if (each.answer.status != 200 || !each.answer.isWhole)
            continue;
        const std::string own = each.ownBody();
        if (each.answer.body == own) {
            ++whole;
            continue;
        }
        ++truncated;
        record.line("BROKEN: %s looks complete with %zu of the server's %zu bytes", each.id.c_str(),
                    each.answer.body.size(), own.size());
    }
    record.line("%d answers whole, %d that only look whole", whole, truncated);
    std::printf("%d answers whole, %d that only look whole\n", whole, truncated);
    if (truncated > 0)
        return 1;
    return whole == 0 ? 2 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, runCase, runServer);
}
