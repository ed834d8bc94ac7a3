// Traffic between the daemons of a fleet in virtual time, on the links, relays
// and target tables of the gateway. One JSON line for each size and load:
//   fleet_traffic_bench [--targets 600] [--seconds 10] [--seed 1]
#include "../gateway/simulated_fleet.hpp"

#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

DEFINE_uint64(targets, 600, "targets of the service");
DEFINE_uint64(seconds, 10, "measured time in seconds");
DEFINE_uint64(seed, 1, "seed of the requests");

using namespace yuccabeam;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t domains = 5;
constexpr duration warm_up = 15s;
constexpr duration service_time = 800ms;

struct load {
    char const* name;
    double requests_per_s; ///< of one daemon
    double failing;        ///< share of the requests
};

constexpr load loads[] = {
    {"idle", 0, 0}, {"usual", 4.7, 0.03}, {"a tenth fails", 4.7, 0.1}};

class traffic {
public:
    traffic(gateway::simulated_fleet& fleet, load const& load)
        : fleet_(fleet), load_(load), random_(FLAGS_seed) {
        for (std::size_t i = 0; load.requests_per_s > 0 && i < fleet.size();
             ++i)
            next(i);
    }

private:
    void next(std::size_t daemon) {
        std::exponential_distribution<double> pause(load_.requests_per_s);
        fleet_.after(from_seconds(pause(random_)), [this, daemon] {
            request(daemon);
            next(daemon);
        });
    }

    void request(std::size_t daemon) {
        auto& one = fleet_.at(daemon);
        target_id const target{"t" + std::to_string(random_() % FLAGS_targets)};
        one.table.on_start(target, fleet_.now());
        one.link->report_activity(*one.table.activity(target), fleet_.now());
        bool const fails = std::uniform_real_distribution<double>(0, 1)(
                               random_) < load_.failing;
        fleet_.after(service_time, [this, &one, target, fails] {
            one.table.on_cancel(target);
            one.link->report_activity(*one.table.activity(target),
                                      fleet_.now());
            if (fails)
                one.link->broadcast({target, 1, placement::notice_kind::failed},
                                    fleet_.now());
        });
    }

    gateway::simulated_fleet& fleet_;
    load const& load_;
    std::mt19937_64 random_;
};

void measure(std::size_t daemons, load const& load) {
    gateway::simulated_fleet fleet(domains, daemons / domains, FLAGS_targets);
    traffic const requests(fleet, load);
    fleet.run_for(warm_up);
    auto const size = static_cast<double>(fleet.size());
    auto const seconds = static_cast<double>(FLAGS_seconds);
    auto const per_daemon = [&](std::uint64_t before, std::uint64_t after) {
        return static_cast<double>(after - before) / size / seconds;
    };
    auto const sent = fleet.sent();
    auto const bytes = fleet.sent_bytes();
    std::vector<duration> busy;
    std::vector<std::uint64_t> sent_by;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        busy.push_back(fleet.at(i).busy);
        sent_by.push_back(fleet.sent_by(i));
    }
    fleet.run_for(std::chrono::seconds(FLAGS_seconds));
    double busy_sum = 0;
    double busy_most = 0;
    double sent_most = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        auto const share = to_seconds(fleet.at(i).busy - busy[i]) / seconds;
        busy_sum += share;
        busy_most = std::max(busy_most, share);
        sent_most = std::max(
            sent_most,
            static_cast<double>(fleet.sent_by(i) - sent_by[i]) / seconds);
    }
    nlohmann::json kinds;
    for (std::size_t kind = 0; kind < gateway::peer_message_names.size();
         ++kind) {
        std::uint64_t count = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i)
            count += fleet.at(i).link->counters().sent[kind];
        kinds[std::string(gateway::peer_message_names[kind])] = count;
    }
    std::cout << nlohmann::json{{"daemons", fleet.size()},
                                {"load", load.name},
                                {"datagrams_per_s",
                                 per_daemon(sent, fleet.sent())},
                                {"most_datagrams_per_s", sent_most},
                                {"bytes_per_s",
                                 per_daemon(bytes, fleet.sent_bytes())},
                                {"core_share", busy_sum / size},
                                {"most_core_share", busy_most},
                                {"bad_datagrams", fleet.bad_datagrams()},
                                {"sent_since_start", kinds}}
                     .dump()
              << std::endl;
}

} // namespace

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (std::size_t const daemons : {20, 100, 300, 1'000})
        for (auto const& load : loads)
            measure(daemons, load);
}
