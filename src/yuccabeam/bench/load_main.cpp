#include "yuccabeam/bench/load_report.hpp"

#include <asio.hpp>
#include <gflags/gflags.h>
#include <iostream>
#include <random>
#include <thread>

DEFINE_string(urls, "", "http://IP:port/path, separated by commas");
DEFINE_double(rate, 0, "open loop: requests per second; 0: closed loop");
DEFINE_int32(connections, 16, "closed loop: requests under way at once");
DEFINE_double(duration_s, 10, "seconds, at most 3600");
DEFINE_int64(requests, 1'000'000, "most requests, at most 20 million");
DEFINE_int32(in_flight, 2000, "open loop: most requests under way");
DEFINE_double(post_share, 0, "share of POST requests");
DEFINE_int32(body_bytes, 100, "bytes of a POST body");
DEFINE_bool(keys, false, "an Idempotency-Key of its own for each POST");
DEFINE_int32(accounts, 1, "accounts that the requests are spread over");
DEFINE_bool(keep_alive, true, "reuse connections");
DEFINE_int32(timeout_ms, 10'000, "time for one request");
DEFINE_int32(deadline_ms, 0, "Yuccabeam-Deadline-Ms; 0: none");
DEFINE_int64(content_seed, 1, "seed of the stand-in targets' bodies");
DEFINE_int32(threads, 1, "threads; each sends a part of the load");
DEFINE_int64(seed, 20261204, "seed of all random choices");

namespace {

using namespace yuccabeam::bench;
using std::chrono::steady_clock;

/// Sends one thread's part of the load.
class generator {
public:
    generator(std::vector<load_url> urls, int number)
        : urls_(std::move(urls)), number_(number),
          random_(static_cast<std::uint64_t>(FLAGS_seed) +
                  static_cast<std::uint64_t>(number)),
          most_(FLAGS_requests / FLAGS_threads), idle_(urls_.size()),
          arrival_(context_) {}

    void run() {
        end_ = steady_clock::now() +
               std::chrono::duration_cast<steady_clock::duration>(
                   std::chrono::duration<double>(FLAGS_duration_s));
        next_ = steady_clock::now();
        if (FLAGS_rate > 0)
            arrive();
        else
            for (int i = number_; i < FLAGS_connections; i += FLAGS_threads)
                issue(steady_clock::now());
        context_.run();
    }

    load_report const& report() const { return report_; }

private:
    bool over() const {
        return issued_ >= most_ || steady_clock::now() >= end_;
    }

    /// Poisson arrivals. Latency counts from the planned time, so that a
    /// stalled target does not hide the requests that wait for it.
    void arrive() {
        if (over())
            return;
        arrival_.expires_at(next_);
        arrival_.async_wait([this](std::error_code const& error) {
            if (error)
                return;
            while (next_ <= steady_clock::now() && !over()) {
                if (under_way_ >= FLAGS_in_flight / FLAGS_threads)
                    report_.count_dropped();
                else
                    issue(next_);
                std::exponential_distribution<double> gap(FLAGS_rate /
                                                          FLAGS_threads);
                next_ += std::chrono::duration_cast<steady_clock::duration>(
                    std::chrono::duration<double>(gap(random_)));
            }
            arrive();
        });
    }

    void issue(steady_clock::time_point planned) {
        if (over())
            return;
        ++issued_;
        ++under_way_;
        auto const url = random_() % urls_.size();
        send(url, make_request(url), planned, false);
    }

    load_request make_request(std::size_t url) {
        load_request out;
        out.url = urls_[url];
        out.token = std::to_string(FLAGS_seed) + '-' + std::to_string(number_) +
                    '-' + std::to_string(issued_);
        out.keep_alive = FLAGS_keep_alive;
        out.timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
        out.content_seed = static_cast<std::uint64_t>(FLAGS_content_seed);
        auto const account =
            random_() % static_cast<std::uint64_t>(FLAGS_accounts);
        out.headers = "Yuccabeam-Request-Id: " + out.token +
                      "\r\nYuccabeam-Account: account-" +
                      std::to_string(account) + "\r\n";
        if (FLAGS_deadline_ms > 0)
            out.headers +=
                "Yuccabeam-Deadline-Ms: " + std::to_string(FLAGS_deadline_ms) +
                "\r\n";
        if (std::uniform_real_distribution<double>(0, 1)(random_) <
            FLAGS_post_share) {
            out.method = "POST";
            out.body = out.token + ' ';
            out.body.resize(std::max(out.body.size(), static_cast<std::size_t>(
                                                          FLAGS_body_bytes)),
                            'x');
            if (FLAGS_keys)
                out.headers += "Idempotency-Key: " + out.token + "\r\n";
        }
        return out;
    }

    void send(std::size_t url, load_request const& request,
              steady_clock::time_point planned, bool fresh) {
        std::shared_ptr<load_connection> connection;
        if (!fresh && !idle_[url].empty()) {
            connection = idle_[url].back();
            idle_[url].pop_back();
        } else {
            connection = std::make_shared<load_connection>(context_);
        }
        connection->run(request, [this, url, request, planned,
                                  connection](load_result const& result) {
            // A kept connection may close while it is idle; a repeated GET
            // is harmless, a repeated POST is not.
            if (result.end == load_end::closed && result.reused &&
                request.method == "GET") {
                report_.count_retry();
                send(url, request, planned, true);
                return;
            }
            --under_way_;
            report_.add(result, steady_clock::now() - planned);
            if (connection->connected())
                idle_[url].push_back(connection);
            if (FLAGS_rate > 0)
                return;
            // Posted, since a target that refuses would recurse here.
            asio::post(context_, [this] { issue(steady_clock::now()); });
        });
    }

    asio::io_context context_{1};
    std::vector<load_url> urls_;
    int number_;
    std::mt19937_64 random_;
    std::int64_t most_;
    std::vector<std::vector<std::shared_ptr<load_connection>>> idle_;
    asio::steady_timer arrival_;
    steady_clock::time_point next_;
    steady_clock::time_point end_;
    std::int64_t issued_ = 0;
    int under_way_ = 0;
    load_report report_;
};

std::vector<load_url> urls_from_flags() {
    std::vector<load_url> out;
    std::string_view rest = FLAGS_urls;
    while (!rest.empty()) {
        auto const comma = rest.find(',');
        auto const url = parse_load_url(rest.substr(0, comma));
        if (!url)
            return {};
        out.push_back(*url);
        rest.remove_prefix(std::min(comma, rest.size() - 1) + 1);
    }
    return out;
}

bool valid_flags() {
    return FLAGS_rate >= 0 && FLAGS_rate <= 1e6 && FLAGS_connections > 0 &&
           FLAGS_connections <= 20'000 && FLAGS_duration_s > 0 &&
           FLAGS_duration_s <= 3600 && FLAGS_requests > 0 &&
           FLAGS_requests <= 20'000'000 && FLAGS_in_flight > 0 &&
           FLAGS_in_flight <= 20'000 && FLAGS_accounts > 0 &&
           FLAGS_timeout_ms > 0 && FLAGS_threads > 0 && FLAGS_threads <= 8 &&
           FLAGS_body_bytes >= 0 && FLAGS_body_bytes <= (1 << 24);
}

} // namespace

int main(int argc, char** argv) {
    gflags::SetUsageMessage("Load generator for loopback addresses.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto const urls = urls_from_flags();
    if (urls.empty() || !valid_flags()) {
        std::cerr << "a flag is out of range, or --urls is not a list of "
                     "http://LOOPBACK_IP:port/path\n";
        return 2;
    }
    std::vector<std::unique_ptr<generator>> generators;
    generators.reserve(static_cast<std::size_t>(FLAGS_threads));
    for (int i = 0; i < FLAGS_threads; ++i)
        generators.push_back(std::make_unique<generator>(urls, i));
    auto const begin = steady_clock::now();
    {
        std::vector<std::jthread> threads;
        threads.reserve(generators.size());
        for (auto const& generator : generators)
            threads.emplace_back([&generator] { generator->run(); });
    }
    std::chrono::duration<double> const took = steady_clock::now() - begin;
    load_report total;
    for (auto const& generator : generators)
        total.merge(generator->report());
    auto out = total.summary(took.count());
    out["seed"] = FLAGS_seed;
    std::cout << out.dump() << std::endl;
    return total.correct() ? 0 : 1;
}
