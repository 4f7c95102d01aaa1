#include "settings/read/ReferenceChecks.h"

#include <set>
#include <string>

namespace cuminrail {

namespace {

/** Remembers where each name was first given, and notes every later place. */
class UniqueNames
{
public:
    UniqueNames(std::string kind, std::vector<Reason> &mistakes)
        : kind_(std::move(kind)), mistakes_(mistakes)
    { }

    void add(const std::string &name, const std::string &where)
    {
        if (name.empty())
            return;
        const auto inserted = firstPlaces_.emplace(name, where);
        if (!inserted.second)
            mistakes_.push_back(
                Reason{where, kind_ + " is already given at " + inserted.first->second});
    }

    bool contains(const std::string &name) const { return firstPlaces_.count(name) != 0; }

    /** Notes a mistake when a name that is used was nowhere given. */
    void require(const std::string &name, const std::string &where)
    {
        if (!name.empty() && !contains(name))
            mistakes_.push_back(Reason{where, "there is no " + kind_ + " \"" + name + "\""});
    }

private:
    std::string kind_;
    std::vector<Reason> &mistakes_;
    std::map<std::string, std::string> firstPlaces_;
};

std::string place(const std::string &subtree, const std::string &list, std::size_t index,
                  const std::string &entry)
{
    return subtree + ": /" + list + "/" + std::to_string(index) + "/" + entry;
}

class ReferenceChecker
{
public:
    ReferenceChecker(const SettingsParts &parts, std::vector<Reason> &mistakes)
        : parts_(parts), mistakes_(mistakes), domains_("failure domain", mistakes),
          models_("model", mistakes), upstreams_("upstream", mistakes),
          addresses_("address", mistakes), services_("service", mistakes),
          customers_("customer", mistakes), hashes_("key", mistakes)
    { }

    void run()
    {
        checkDomainsAndModels();
        checkEngines();
        checkServices();
        checkPrefixes();
        checkTeams();
        checkKeys();
    }

private:
    void checkDomainsAndModels()
    {
        const FleetSettings &fleet = parts_.fleet;
        for (std::size_t i = 0; i < fleet.domains.size(); ++i)
            domains_.add(fleet.domains[i].id.text(), place("fleet", "domains", i, "id"));
        for (std::size_t i = 0; i < fleet.models.size(); ++i)
            models_.add(fleet.models[i].id.text(), place("fleet", "models", i, "id"));
    }

    void checkModelList(const std::vector<ModelId> &models, const std::string &where)
    {
        for (std::size_t i = 0; i < models.size(); ++i)
            models_.require(models[i].text(), where + "/" + std::to_string(i));
    }

    void checkEngines()
    {
        const auto &engines = parts_.fleet.engines;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            upstreams_.add(engines[i].id.text(), place("fleet", "engines", i, "id"));
            addresses_.add(engines[i].address, place("fleet", "engines", i, "address"));
            domains_.require(engines[i].domain.text(), place("fleet", "engines", i, "domain"));
            checkModelList(engines[i].models, place("fleet", "engines", i, "models"));
        }
    }

    void checkServices()
    {
        const auto &services = parts_.fleet.services;
        for (std::size_t i = 0; i < services.size(); ++i) {
            services_.add(services[i].name, place("fleet", "services", i, "name"));
            checkServiceUpstreams(services[i], place("fleet", "services", i, "upstreams"));
            checkServiceCalls(services[i], place("fleet", "services", i, "calls"));
        }
    }

    void checkServiceUpstreams(const ServiceSettings &service, const std::string &where)
    {
        for (std::size_t i = 0; i < service.upstreams.size(); ++i) {
            const ServiceUpstreamSettings &upstream = service.upstreams[i];
            const std::string element = where + "/" + std::to_string(i);
            upstreams_.add(upstream.id.text(), element + "/id");
            addresses_.add(upstream.address, element + "/address");
            domains_.require(upstream.domain.text(), element + "/domain");
        }
    }

    void checkServiceCalls(const ServiceSettings &service, const std::string &where)
    {
        std::set<std::string> seen;
        for (std::size_t i = 0; i < service.calls.size(); ++i) {
            const ServiceCallSettings &call = service.calls[i];
            if (!seen.insert(call.method + " " + call.path).second)
                mistakes_.push_back(Reason{where + "/" + std::to_string(i),
                                           "the same method and path stand twice"});
        }
    }

    // Two services below one path: a lodging could reach the wrong one.
    void checkPrefixes()
    {
        const auto &services = parts_.fleet.services;
        for (std::size_t i = 0; i < services.size(); ++i) {
            for (std::size_t j = 0; j < i; ++j) {
                const std::string &mine = services[i].prefix;
                const std::string &other = services[j].prefix;
                if (mine.empty() || other.empty())
                    continue;
                if (mine.rfind(other, 0) == 0 || other.rfind(mine, 0) == 0)
                    mistakes_.push_back(Reason{place("fleet", "services", i, "prefix"),
                                               "overlaps with \"" + other + "\""});
            }
        }
    }

    void checkTeams()
    {
        for (const TeamSettings &team : parts_.teams) {
            const std::string subtree = "teams/" + team.id.text();
            for (std::size_t i = 0; i < team.customers.size(); ++i) {
                const CustomerSettings &customer = team.customers[i];
                customers_.add(customer.id.text(), place(subtree, "customers", i, "id"));
                checkModelList(customer.models, place(subtree, "customers", i, "models"));
                teamOf_.emplace(customer.id, team.id);
            }
            UniqueNames days("day", mistakes_);
            for (std::size_t i = 0; i < team.expectedDays.size(); ++i)
                days.add(team.expectedDays[i].date, place(subtree, "expected_days", i, "date"));
        }
    }

    void checkKeys()
    {
        for (const auto &entry : parts_.keys) {
            const std::string subtree = "keys/" + entry.first.text();
            checkTeamExists(entry.first, subtree);
            const auto &keys = entry.second.keys;
            for (std::size_t i = 0; i < keys.size(); ++i) {
                hashes_.add(keys[i].sha256, place(subtree, "keys", i, "sha256"));
                checkKeyCustomer(keys[i], entry.first, place(subtree, "keys", i, "customer"));
            }
        }
    }

    void checkTeamExists(const TeamId &team, const std::string &subtree)
    {
        for (const TeamSettings &known : parts_.teams) {
            if (known.id == team)
                return;
        }
        mistakes_.push_back(Reason{subtree, "there is no subtree \"teams/" + team.text() + "\""});
    }

    // A key of one team that opens another team's customer would show one chamber's papers to
    // its rival.
    void checkKeyCustomer(const CallerKeySettings &key, const TeamId &team,
                          const std::string &where)
    {
        customers_.require(key.customer.text(), where);
        const auto owner = teamOf_.find(key.customer);
        if (owner != teamOf_.end() && owner->second != team)
            mistakes_.push_back(Reason{where,
                                       "\"" + key.customer.text() + "\" is a customer of team \""
                                           + owner->second.text() + "\""});
    }

    const SettingsParts &parts_;
    std::vector<Reason> &mistakes_;
    UniqueNames domains_;
    UniqueNames models_;
    UniqueNames upstreams_;
    UniqueNames addresses_;
    UniqueNames services_;
    UniqueNames customers_;
    UniqueNames hashes_;
    std::map<CustomerId, TeamId> teamOf_;
};

} // namespace

void checkReferences(const SettingsParts &parts, std::vector<Reason> &mistakes)
{
    ReferenceChecker(parts, mistakes).run();
}

} // namespace cuminrail
