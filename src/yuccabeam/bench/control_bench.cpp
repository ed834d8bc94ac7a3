// Cost and delay of membership and configuration spread: decision states and
// codec over an in-memory link in virtual time. One JSON line per fleet size;
// see docs/decisions/0007-membership.md.

#include "yuccabeam/codec/envelope.hpp"
#include "yuccabeam/standins/simulated_fleet.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <gflags/gflags.h>
#include <malloc.h>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(sizes, "8,16,32,64,128,256", "fleet sizes, with commas between");
DEFINE_int32(trials, 12, "dead members and revisions for each size");
DEFINE_int32(window_s, 60, "virtual seconds of each cost measurement");
DEFINE_uint64(seed, 1, "seed of all randomness");

namespace {

using namespace yuccabeam;
using std::chrono::milliseconds;
using std::chrono::seconds;

// IP and UDP headers of a datagram.
constexpr std::size_t header_bytes = 28;
constexpr double loss = 0.001;
constexpr int min_delay_us = 500;
constexpr int max_delay_us = 5000;
// One restart in 9 s: 9,600 a day, the rate of the whole fleet in two years.
constexpr auto restart_period = seconds(9);

double cpu_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

struct traffic {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
};

struct cost {
    double bytes_per_s = 0, messages_per_s = 0, cpu_percent = 0;
};

struct delays {
    std::vector<double> seconds;
    double at(double share) {
        if (seconds.empty())
            return -1;
        std::sort(seconds.begin(), seconds.end());
        auto const last = static_cast<double>(seconds.size() - 1);
        return seconds[static_cast<std::size_t>(std::lround(share * last))];
    }
};

standins::fleet_options options() {
    standins::fleet_options out;
    out.seed = FLAGS_seed;
    return out;
}

class bench {
public:
    explicit bench(std::size_t size)
        : size_(size), heap_before_(mallinfo2().uordblks),
          fleet_(size, options()), incarnations_(size, 1) {
        codec::deployment_key const key{"bench", "secret"};
        for (std::size_t i = 0; i < size; ++i) {
            all_.push_back(i);
            sealers_.emplace_back(key, standins::simulated_fleet::name(i), 1);
            openers_.emplace_back(key);
        }
        fleet_.set_link([](std::size_t, std::size_t,
                           membership::random_engine& rng) {
            std::uniform_real_distribution<double> share(0, 1);
            std::uniform_int_distribution<int> delay(min_delay_us,
                                                     max_delay_us);
            return std::vector<duration>(share(rng) >= loss,
                                         std::chrono::microseconds(delay(rng)));
        });
        fleet_.set_wire([this](std::size_t from, std::size_t to,
                               standins::fleet_message const& message) {
            return transfer(from, to, message);
        });
        for (std::size_t i : all_)
            fleet_.start(i, 1, all_);
        // All members start at once; their updates need this long to leave
        // the queues.
        fleet_.run_for(seconds(60 + 3 * size));
    }

    std::size_t bytes_per_member() const {
        return (mallinfo2().uordblks - heap_before_) / size_;
    }

    cost measure(bool with_restarts) {
        counted_ = {};
        double const start = cpu_seconds();
        time_point const end = fleet_.now() + seconds(FLAGS_window_s);
        while (fleet_.now() < end) {
            if (with_restarts)
                restart(pick());
            fleet_.run_for(restart_period);
        }
        double const elapsed = to_seconds(fleet_.now() - end) + FLAGS_window_s;
        double const share = elapsed * static_cast<double>(size_);
        return {static_cast<double>(counted_.bytes) / share,
                static_cast<double>(counted_.messages) / share,
                100 * (cpu_seconds() - start) / share};
    }

    delays detect_dead() {
        delays out;
        for (int trial = 0; trial < FLAGS_trials; ++trial) {
            std::size_t const victim = pick();
            time_point const start = fleet_.now();
            fleet_.set_observer(
                [&](std::size_t, membership::member_event const& e) {
                    if (e.kind == membership::event_kind::died &&
                        e.member.id == standins::simulated_fleet::name(victim))
                        out.seconds.push_back(to_seconds(fleet_.now() - start));
                });
            fleet_.stop(victim);
            fleet_.run_for(seconds(60));
            fleet_.set_observer({});
            restart(victim);
            fleet_.run_for(seconds(60));
        }
        return out;
    }

    delays spread() {
        delays out;
        for (int trial = 1; trial <= FLAGS_trials; ++trial) {
            time_point const start = fleet_.now();
            fleet_.set_applied([&](std::size_t, membership::config_digest) {
                out.seconds.push_back(to_seconds(fleet_.now() - start));
            });
            membership::config_digest config;
            config.revision = static_cast<revision>(trial);
            fleet_.accept(pick(), config);
            fleet_.run_for(seconds(30));
        }
        fleet_.set_applied({});
        return out;
    }

private:
    std::size_t pick() {
        std::uniform_int_distribution<std::size_t> member(0, size_ - 1);
        return member(fleet_.rng());
    }

    void restart(std::size_t i) {
        sealers_[i].set_incarnation(++incarnations_[i]);
        fleet_.start(i, incarnations_[i], all_);
    }

    std::optional<standins::fleet_message>
    transfer(std::size_t from, std::size_t to,
             standins::fleet_message const& message) {
        codec::message outer;
        std::visit([&](auto const& m) { outer = m; }, message);
        auto const datagram = sealers_[from].seal(outer);
        if (!datagram) {
            std::fprintf(stderr, "%s\n", datagram.error().message.c_str());
            return std::nullopt;
        }
        ++counted_.messages;
        counted_.bytes += datagram.value().size() + header_bytes;
        auto got = openers_[to].open(datagram.value());
        auto* opened = std::get_if<codec::authenticated_message>(&got);
        if (!opened)
            return std::nullopt;
        std::optional<standins::fleet_message> out;
        std::visit(
            [&](auto& m) {
                if constexpr (std::is_constructible_v<standins::fleet_message,
                                                      decltype(m)>)
                    out = std::move(m);
            },
            opened->message);
        return out;
    }

    std::size_t size_;
    std::size_t heap_before_;
    standins::simulated_fleet fleet_;
    std::vector<incarnation> incarnations_;
    std::vector<std::size_t> all_;
    std::vector<codec::sealer> sealers_;
    std::vector<codec::opener> openers_;
    traffic counted_;
};

void run(std::size_t size) {
    bench one(size);
    std::size_t const memory = one.bytes_per_member();
    cost const quiet = one.measure(false);
    cost const restarts = one.measure(true);
    delays spread = one.spread();
    delays dead = one.detect_dead();
    std::printf(
        "{\"members\":%zu,\"seed\":%llu,\"sent_bytes_per_s\":%.0f,"
        "\"sent_messages_per_s\":%.2f,\"cpu_percent\":%.4f,"
        "\"restarts_sent_bytes_per_s\":%.0f,"
        "\"restarts_cpu_percent\":%.4f,\"heap_bytes_per_member\":%zu,"
        "\"dead_s\":{\"p50\":%.2f,\"p99\":%.2f,\"max\":%.2f,\"n\":%zu},"
        "\"spread_s\":{\"p50\":%.3f,\"p99\":%.3f,\"max\":%.3f,\"n\":%zu}}\n",
        size, static_cast<unsigned long long>(FLAGS_seed), quiet.bytes_per_s,
        quiet.messages_per_s, quiet.cpu_percent, restarts.bytes_per_s,
        restarts.cpu_percent, memory, dead.at(0.5), dead.at(0.99), dead.at(1),
        dead.seconds.size(), spread.at(0.5), spread.at(0.99), spread.at(1),
        spread.seconds.size());
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Cost and delay of membership by fleet size");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::istringstream sizes(FLAGS_sizes);
    for (std::string size; std::getline(sizes, size, ',');)
        run(std::stoul(size));
}
