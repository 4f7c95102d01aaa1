#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cuminrail {

/**
    Start-time fair queueing over flows: who is served next, by cost and weight.

    Each flow has a start tag in virtual time; the least one is served, and its next start tag lies
    cost divided by weight later. Virtual time is the tag of what was served last. A flow that was
    idle starts at virtual time: it saves up no credit, so a customer who was away cannot take the
    queue when it returns. Capacity is never left idle while a flow is active.

    Holds flows, not requests; costs are any unit. Logarithmic in the number of active flows.
*/
class FairQueue
{
public:
    using FlowIndex = std::uint32_t;

    /** Adds a flow. Returns its number. */
    FlowIndex addFlow(double weight);
    void setWeight(FlowIndex flow, double weight) { flows_[flow].weight = weight; }

    /** The flow has something to serve from now on. */
    void activate(FlowIndex flow);

    /** The flow has nothing to serve, or may not be served for now. */
    void deactivate(FlowIndex flow);

    /** Returns the active flow to be served next. */
    std::optional<FlowIndex> next() const;

    /** The flow was served at this cost, whether it was active or not. */
    void charge(FlowIndex flow, double cost);

    /** Corrects an earlier charge by the difference, positive for more. */
    void correct(FlowIndex flow, double difference);

    bool isActive(FlowIndex flow) const { return flows_[flow].active; }
    /** Sum of the weights of active flows. */
    double activeWeight() const { return activeWeight_; }
    double weight(FlowIndex flow) const { return flows_[flow].weight; }
    std::size_t activeCount() const { return active_.size(); }
    double virtualTime() const { return virtualTime_; }

private:
    struct Flow
    {
        double weight = 1;
        double start = 0;
        double finish = 0;
        bool active = false;
    };

    double earliestStart() const;
    void move(FlowIndex flow, double start);

    std::vector<Flow> flows_;
    std::set<std::pair<double, FlowIndex>> active_;
    double virtualTime_ = 0;
    double activeWeight_ = 0;
};

} // namespace cuminrail
