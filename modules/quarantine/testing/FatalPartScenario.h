#pragma once

#include "core/guards/Guards.h"
#include "quarantine/testing/QuarantineCluster.h"

#include <optional>

namespace cuminrail::testing {

/** What happens to instances and engines while requests with a fatal part arrive. */
enum class PartFault : std::uint8_t {
    None,
    /** One instance after the other is killed and started again. */
    Kills,
    /** One instance after the other has no links to the others for a while. */
    Cuts,
    Freezes,
    /** Engines end by themselves. */
    EngineEnds,
    /** A third of the engines ends at once, now and then. */
    DomainLosses,
    LostFrames,
    /** Instances start again while the store is away. */
    KillsWithoutStore,
};

inline constexpr NameTable<PartFault, 8> partFaultNames{{{
    {PartFault::None, "none"},
    {PartFault::Kills, "instances killed"},
    {PartFault::Cuts, "instances cut"},
    {PartFault::Freezes, "instances frozen"},
    {PartFault::EngineEnds, "engines end"},
    {PartFault::DomainLosses, "domains lost"},
    {PartFault::LostFrames, "frames lost"},
    {PartFault::KillsWithoutStore, "killed, no store"},
}}};

/** How blame is found; the ways that were weighed. */
enum class BlameWay : std::uint8_t {
    /** The whole request alone. */
    WholeRequest,
    /** Refused after a number of endings, without a trial. */
    Counted,
    HeldFromFirst,
    NotCalledBack,
    /** Held from the second ending on, called back, refused after a trial. */
    Tried,
};

inline constexpr NameTable<BlameWay, 5> blameWayNames{{{
    {BlameWay::WholeRequest, "whole request"},
    {BlameWay::Counted, "counted, no trial"},
    {BlameWay::HeldFromFirst, "held from the first"},
    {BlameWay::NotCalledBack, "not called back"},
    {BlameWay::Tried, "held, called back, tried"},
}}};

/**
    Requests with prompts at all instances of a cluster, some of them with a part that is fatal to
    engines: no two alike, several a second. Sound requests share the customers and all other parts.
*/
class FatalPartScenario
{
public:
    struct Setting
    {
        int instances = 6;
        int engines = 9;
        int soundPerSecond = 30;
        int fatalPerSecond = 4;
        /** Number of parts that are fatal; none for engines that only end by themselves. */
        int fatalParts = 1;
        PartFault fault = PartFault::None;
        BlameWay way = BlameWay::Tried;
        /** The fatal part is the first one of its prompts. */
        bool isFirst = false;
        /** All sound requests stop having the part when it becomes fatal. */
        bool turnsFatal = false;
    };

    struct Result
    {
        std::size_t crashes = 0;
        /** Engines that ended more than a second after the third, by connected instances. */
        std::size_t lateCrashes = 0;
        /** Refused sound requests. */
        int soundRefused = 0;
        Millis longestHold;
        /** Quarantines that name no fatal part. */
        int wrongQuarantines = 0;
        /** Share of sound requests whose first attempt began, before and from then on. */
        double begunBefore = 0;
        double begunAfter = 0;
    };

    FatalPartScenario(const Setting &setting, std::uint64_t seed)
        : setting_(setting),
          cluster_(setting.instances, setting.engines, seed,
                   {setting.way == BlameWay::HeldFromFirst ? std::size_t{1}
                                                           : SuspicionTable::suspectedThreshold})
    {
        cluster_.streamTime = Millis(200);
        cluster_.crashTime = Millis(90);
    }

    /** The first requests with a fatal part come in this time; what follows is compared. */
    static constexpr Millis onset = Millis(6000);

    /** @param span  for which requests with the fatal part come after the onset */
    Result run(Millis span = Millis::seconds(20))
    {
        std::optional<DisabledGuard> without;
        if (setting_.way == BlameWay::Counted)
            without.emplace(Guard::PartTried);
        if (setting_.way == BlameWay::NotCalledBack)
            without.emplace(Guard::HeldCalledBack);
        play(Millis::seconds(5), false, SoundBefore);
        play(onset, true, SoundAtOnset);
        play(span, true, SoundAfter);
        return result();
    }

    QuarantineCluster &cluster() { return cluster_; }

private:
    enum Group : int { SoundBefore, SoundAtOnset, SoundAfter, FatalGroup };

    static constexpr Millis step = Millis(10);
    static constexpr int customers = 8;
    static constexpr int firstParts = 3;
    static constexpr int middleParts = 30;

    bool draw(int perSecond)
    {
        return cluster_.pick(1000) < perSecond * static_cast<int>(step.count());
    }

    std::string customer() { return "customer-" + std::to_string(cluster_.pick(customers)); }
    std::string first() { return "first-" + std::to_string(cluster_.pick(firstParts)); }
    std::string middle() { return "middle-" + std::to_string(cluster_.pick(middleParts)); }
    std::string own() { return std::to_string(nextRequest_++); }

    RequestContents contents(const std::vector<std::string> &parts)
    {
        if (setting_.way != BlameWay::WholeRequest)
            return promptContents(customer(), parts, own());
        return ContentFingerprint::ofRequest(customer(), "/stream", own());
    }

    std::string fatalPart(int number) const
    {
        return (setting_.turnsFatal ? "middle-" : "fatal-") + std::to_string(number);
    }

    void sendSound(int group)
    {
        std::string part = middle();
        const bool isAvoided = setting_.turnsFatal && group != SoundBefore;
        while (isAvoided && part == fatalPart(0))
            part = middle();
        cluster_.request(cluster_.pick(cluster_.count()), contents({first(), part}), false, group);
    }

    void sendFatal()
    {
        const int number = cluster_.pick(setting_.fatalParts);
        const std::string part = fatalPart(number);
        const auto parts = setting_.isFirst ? std::vector<std::string>{part, middle()}
                                            : std::vector<std::string>{first(), part, middle()};
        cluster_.request(cluster_.pick(cluster_.count()), contents(parts), true,
                         FatalGroup + number);
    }

    void play(Millis span, bool isDisturbed, int group)
    {
        for (Millis at; at < span; at += step) {
            if (draw(setting_.soundPerSecond))
                sendSound(group);
            if (isDisturbed && setting_.fatalParts > 0 && draw(setting_.fatalPerSecond))
                sendFatal();
            if (isDisturbed || endsEngines())
                disturb(at);
            cluster_.advance(step);
        }
    }

    /** Engines end before there is a fatal part, too, so that only its effect is compared. */
    bool endsEngines() const
    {
        return setting_.fault == PartFault::EngineEnds || setting_.fault == PartFault::DomainLosses;
    }

    void disturb(Millis at)
    {
        switch (setting_.fault) {
        case PartFault::None:
            return;
        case PartFault::KillsWithoutStore:
            cluster_.isStoreDown = true;
            [[fallthrough]];
        case PartFault::Kills:
            return killInTurn(at);
        case PartFault::Cuts:
            return cutInTurn(at);
        case PartFault::Freezes:
            return freezeInTurn(at);
        case PartFault::EngineEnds:
            if (cluster_.pick(150) == 0)
                cluster_.endEngine(std::size_t(cluster_.pick(setting_.engines)));
            return;
        case PartFault::DomainLosses:
            if (cluster_.pick(400) == 0)
                endDomain();
            return;
        case PartFault::LostFrames:
            cluster_.lossPercent = 20;
            return;
        }
    }

    void endDomain()
    {
        const int domain = cluster_.pick(3);
        for (std::size_t i = 0; i < cluster_.engineCount(); ++i) {
            if (static_cast<int>(i % 3) == domain)
                cluster_.endEngine(i);
        }
    }

    void killInTurn(Millis at)
    {
        if (at.count() % 1500 == 0) {
            victim_ = cluster_.pick(cluster_.count());
            cluster_.kill(victim_);
        } else if (at.count() % 1500 == 700) {
            cluster_.restart(victim_);
        }
    }

    void cutInTurn(Millis at)
    {
        if (at.count() % 4000 == 0) {
            victim_ = cluster_.pick(cluster_.count());
            const int cut = victim_;
            cluster_.isCut = [cut](int from, int to) { return from == cut || to == cut; };
        }
        if (at.count() % 4000 < 2000)
            return cluster_.disturb(victim_);
        cluster_.isCut = [](int, int) { return false; };
    }

    void freezeInTurn(Millis at)
    {
        if (at.count() % 3000 == 0) {
            victim_ = cluster_.pick(cluster_.count());
            cluster_.frozen.insert(victim_);
        }
        if (at.count() % 3000 < 1500)
            cluster_.disturb(victim_);
        else
            cluster_.frozen.clear();
    }

    static double begunShare(const GroupCounts &counts)
    {
        return counts.requests == 0 ? 0 : double(counts.begunAtFirst) / counts.requests;
    }

    bool isFatal(const ContentFingerprint &content) const
    {
        for (int number = 0; number < setting_.fatalParts; ++number) {
            if (content == ContentFingerprint::ofPart("m", fatalPart(number)))
                return true;
            for (int i = 0; i < customers; ++i) {
                if (content
                    == ContentFingerprint::ofCustomerPart("customer-" + std::to_string(i), "m",
                                                          fatalPart(number)))
                    return true;
            }
        }
        return false;
    }

    int countWrongQuarantines()
    {
        std::set<std::string> wrong;
        for (int i = 0; i < cluster_.count(); ++i) {
            for (const Quarantine &quarantine : cluster_.at(i).quarantines()) {
                const auto &contents = quarantine.contents;
                const bool isOfPart = contents.front().kind() != ContentKind::Request;
                if (isOfPart
                    && std::none_of(contents.begin(), contents.end(),
                                    [&](const auto &each) { return isFatal(each); }))
                    wrong.insert(quarantine.id());
            }
        }
        return static_cast<int>(wrong.size());
    }

    Result result()
    {
        Result result;
        for (const auto &[group, times] : cluster_.crashes) {
            result.crashes = std::max(result.crashes, times.size());
            for (const Millis at : cluster_.connectedCrashes[group])
                result.lateCrashes += times.size() > 3 && at > times[2] + Millis(1000) ? 1 : 0;
        }
        for (const int group : {SoundBefore, SoundAtOnset, SoundAfter}) {
            const GroupCounts &counts = cluster_.groups[group];
            result.soundRefused += counts.refused;
            result.longestHold = std::max(result.longestHold, counts.longestHold);
        }
        result.wrongQuarantines = countWrongQuarantines();
        result.begunBefore = begunShare(cluster_.groups[SoundBefore]);
        result.begunAfter = begunShare(cluster_.groups[SoundAfter]);
        return result;
    }

    Setting setting_;
    QuarantineCluster cluster_;
    int nextRequest_ = 0;
    int victim_ = 0;
};

} // namespace cuminrail::testing
