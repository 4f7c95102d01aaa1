/**
    A server crashes in the middle of answers that end with their connection, while the machine that
    passes them on is partitioned from all servers: new connections are refused.

    Usage: crash-behind-cut FOLDER; "crash-behind-cut server PORT ID" for one server
*/

#include "answers.h"

using namespace stand;

namespace {

int runCase(const std::string &folder, const std::string &self)
{
    const bool isTroubled = hasTrouble();
    Deployment &site = *new Deployment(folder + "/record.txt", 3, 6, self, true);
    Record &record = site.record;
    if (!site.start())
        return 2;
    sleepMs(2500);
    Deployment::Node &node = *site.nodes[0];
    const Machine &machine = *node.machine;
    std::list<Sent> all;
    for (int i = 0; i < 6; ++i) {
        const std::string number = std::to_string(i);
        for (const char *const kind : {"once", "again", "lodge"}) {
            all.emplace_back();
            all.back().path = "/" + std::string(kind) + "/x";
            all.back().id = kind + ("-" + number);
            sendInThread(record, machine, all.back());
            sleepMs(5);
        }
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
    Verdict verdict;
    for (const Sent &each : all)
        verdict.judge(record, each);
    return verdict.report(record);
}

} // namespace

int main(int argc, char **argv)
{
    return runProgram(argc, argv, runCase, runServer);
}
