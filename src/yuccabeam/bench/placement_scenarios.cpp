#include "placement_world.hpp"

namespace yuccabeam::bench {

namespace {

// The orders of the grown deployment at a ninth of its size, where single
// targets make a difference.
void add_ninths(std::vector<placement_scenario>& to) {
    placement_scenario ninth = to[to.size() - 2];
    ninth.name = "ninth_orders";
    ninth.daemons = 21;
    ninth.repeat_slack = 23;
    ninth.targets = 27;
    ninth.non_idempotent_per_s = 84;
    to.push_back(ninth);
    ninth.name = "ninth_orders_spell";
    ninth.troubles = {{target_trouble::reset, 0.5, 19, std::chrono::seconds(14),
                       std::chrono::seconds(6)}};
    to.push_back(ninth);
}

} // namespace

std::vector<placement_scenario> const& placement_scenarios() {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    static std::vector<placement_scenario> const all = [] {
        std::vector<placement_scenario> out;
        placement_scenario orders;
        orders.name = "orders_calm";
        orders.non_idempotent_per_s = 37;
        orders.idempotent_per_s = 4;
        out.push_back(orders);
        orders.name = "orders_usual";
        orders.non_idempotent_per_s = 62;
        orders.idempotent_per_s = 5;
        out.push_back(orders);
        orders.name = "orders_heavy";
        orders.non_idempotent_per_s = 84;
        orders.idempotent_per_s = 7;
        out.push_back(orders);
        auto faults = orders;
        faults.name = "orders_faults";
        faults.non_idempotent_per_s = 62;
        faults.troubles = {
            {target_trouble::hang, 0.65, 1, seconds(4), seconds(5)},
            {target_trouble::errors, 0.5, 2, seconds(12), seconds(5)},
            {target_trouble::hang, 0.65, 1, seconds(24), seconds(5)}};
        out.push_back(faults);
        auto slow = orders;
        slow.name = "orders_slow";
        slow.non_idempotent_per_s = 62;
        slow.troubles = {
            {target_trouble::slow, 0, 6, seconds(12), seconds(9), 12}};
        out.push_back(slow);
        auto shed = orders;
        shed.name = "orders_shed_all";
        shed.troubles = {{target_trouble::shed, 0.55, shed.targets, seconds(12),
                          milliseconds(8'500)}};
        out.push_back(shed);
        placement_scenario stock;
        stock.name = "stock_usual";
        stock.targets = 7;
        stock.non_idempotent_per_s = 0;
        stock.idempotent_per_s = 24;
        stock.work = milliseconds(630);
        stock.work_spread = 0.5;
        stock.timeout = seconds(3);
        out.push_back(stock);
        stock.name = "stock_heavy";
        stock.idempotent_per_s = 36;
        out.push_back(stock);
        placement_scenario grown;
        grown.name = "grown_orders";
        grown.daemons = 126;
        grown.domains = 5;
        grown.repeat_slack = 208;
        grown.targets = 249;
        grown.non_idempotent_per_s = 753;
        grown.idempotent_per_s = 0;
        grown.checks_per_s = 0;
        grown.work = milliseconds(630);
        grown.work_spread = 0.8;
        grown.objective = milliseconds(2'500);
        grown.timeout = seconds(8);
        grown.turn_period = seconds(12);
        grown.failing_resets = 0.75;
        out.push_back(grown);
        grown.name = "grown_reads";
        grown.targets = 155;
        grown.non_idempotent_per_s = 0;
        grown.idempotent_per_s = 362;
        grown.work = milliseconds(810);
        grown.timeout = seconds(6);
        out.push_back(grown);
        add_ninths(out);
        return out;
    }();
    return all;
}

} // namespace yuccabeam::bench
