#include "instance/services/BudgetService.h"

#include "admission/limits/AdmissionSettingsBuilder.h"
#include "membership/messages/CborArrayReader.h"

#include <random>
#include <utility>

namespace cuminrail {

namespace {

constexpr Millis pollInterval{100};

/** Prepends the frame channel to a message of the ledger, which has no channel of its own. */
std::string encodeBudgetFrame(const std::string &message)
{
    const std::vector<std::uint8_t> bytes(message.begin(), message.end());
    return encodeCbor(nlohmann::json::array(
        {static_cast<int>(FrameChannel::Budgets), nlohmann::json::binary(bytes)}));
}

std::optional<std::string> decodeBudgetFrame(const std::string &frame)
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
      ledger_(control.context().config.instanceId, incarnation, BudgetOptions(), makeHooks(peers),
              seededRandom(std::random_device()()))
{
    members_.setFrameHook(
        FrameChannel::Budgets, [this](const PeerAddress &, const std::string &frame) {
            const auto message = decodeBudgetFrame(frame);
            if (message)
                ledger_.handleFrame(*message, control_.thread().deadlines().now());
        });
    members_.addChangeHook([this] { updateMembers(); });
    control_.addTick(pollInterval, [this](Millis now) { ledger_.poll(now); });
    control_.addState("budgets", [this] { return nlohmann::json{{"loans", ledger_.loanCount()}}; });
}

BudgetHooks BudgetService::makeHooks(const PeerTransport &peers)
{
    const auto now = [this] { return control_.thread().deadlines().now(); };
    BudgetHooks hooks;
    hooks.send = [this, peers](const InstanceId &to, const std::string &frame) {
        const PeerAddress address = members_.addressOf(to);
        if (!address.empty())
            peers.send(address, encodeBudgetFrame(frame));
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
    hooks.takeCredit = [this, now](CustomerIndex customer, const LocalShare &requestedCredit) {
        LocalShare takenCredit;
        admission_.withController([&](AdmissionController &controller) {
            takenCredit = controller.takeCredit(customer, requestedCredit, now());
        });
        return takenCredit;
    };
    hooks.addCredit = [this, now](CustomerIndex customer, const LocalShare &credit) {
        admission_.addCredit(customer, credit, now());
    };
    return hooks;
}

void BudgetService::configure(const Settings &settings)
{
    StableIndexes &indexes = control_.builder().indexes();
    const AdmissionSettings admissionSettings =
        buildAdmissionSettings(settings, indexes.customers, indexes.pools);
    ledger_.setCustomers(admissionSettings.customers, control_.thread().deadlines().now());
    updateMembers();
}

void BudgetService::updateMembers()
{
    ledger_.setMembers(members_.usableIds(), control_.thread().deadlines().now());
    control_.setInstanceCount(members_.usable().size());
}

} // namespace cuminrail
