#include "instance/services/BudgetService.h"

#include "admission/limits/AdmissionSettingsBuilder.h"
#include "membership/messages/CborArrayReader.h"

#include <random>
#include <utility>

namespace cuminrail {

namespace {

constexpr Millis pollPeriod{100};

/** Puts the channel before a ledger's message, which does not know of channels. */
std::string withChannel(const std::string &message)
{
    const std::vector<std::uint8_t> bytes(message.begin(), message.end());
    return encodeCbor(nlohmann::json::array(
        {static_cast<int>(FrameChannel::Budgets), nlohmann::json::binary(bytes)}));
}

std::optional<std::string> withoutChannel(const std::string &frame)
{
    const auto json = decodeCbor(frame);
    if (!json)
        return std::nullopt;
    CborArrayReader array(*json);
    array.number(static_cast<int>(FrameChannel::Budgets));
    std::string message = array.bytes(FrameLimits::bytes);
    if (!array.isFullyRead())
        return std::nullopt;
    return message;
}

} // namespace

BudgetService::BudgetService(ControlPlane &control, AdmissionDesk &admission,
                             MemberService &members, const PeerTransport &peers,
                             Incarnation incarnation)
    : control_(control), admission_(admission), members_(members),
      ledger_(control.context().config.instanceId, incarnation, BudgetOptions(), hooksFor(peers),
              seededRandom(std::random_device()()))
{
    members_.setFrameHook(
        FrameChannel::Budgets, [this](const PeerAddress &, const std::string &frame) {
            const auto message = withoutChannel(frame);
            if (message)
                ledger_.handleFrame(*message, control_.thread().deadlines().now());
        });
    members_.addChangeHook([this] { membersChanged(); });
    control_.addTick(pollPeriod, [this](Millis now) { ledger_.poll(now); });
    control_.addState("budgets", [this] { return nlohmann::json{{"loans", ledger_.loanCount()}}; });
}

BudgetHooks BudgetService::hooksFor(const PeerTransport &peers)
{
    const auto now = [this] { return control_.thread().deadlines().now(); };
    BudgetHooks hooks;
    hooks.send = [this, peers](const InstanceId &to, const std::string &frame) {
        const PeerAddress address = members_.addressOf(to);
        if (!address.empty())
            peers.send(address, withChannel(frame));
    };
    hooks.use = [this, now](CustomerIndex customer) {
        CustomerUse use;
        admission_.withController([&](AdmissionController &controller) {
            use = controller.customerUse(customer, now());
        });
        return use;
    };
    hooks.setShare = [this, now](CustomerIndex customer, const LocalShare &share) {
        admission_.withController([&](AdmissionController &controller) {
            controller.setLocalShare(customer, share, now());
        });
    };
    hooks.takeCredit = [this, now](CustomerIndex customer, const LocalShare &wanted) {
        LocalShare taken;
        admission_.withController([&](AdmissionController &controller) {
            taken = controller.takeCredit(customer, wanted, now());
        });
        return taken;
    };
    hooks.addCredit = [this, now](CustomerIndex customer, const LocalShare &credit) {
        admission_.addCredit(customer, credit, now());
    };
    return hooks;
}

void BudgetService::configure(const Settings &settings)
{
    StableIndexes &indexes = control_.builder().indexes();
    const AdmissionSettings rows =
        buildAdmissionSettings(settings, indexes.customers, indexes.pools);
    ledger_.setCustomers(rows.customers, control_.thread().deadlines().now());
    membersChanged();
}

void BudgetService::membersChanged()
{
    ledger_.setMembers(members_.usableIds(), control_.thread().deadlines().now());
    control_.setInstanceCount(members_.usable().size());
}

} // namespace cuminrail
