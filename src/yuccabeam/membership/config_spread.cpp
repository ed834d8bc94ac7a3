#include "yuccabeam/membership/config_spread.hpp"

#include <algorithm>

namespace yuccabeam::membership {

namespace {

// Maximum number of sources kept for the pending revision. More would rarely be
// tried: the store is asked after `peer_attempts` peers.
constexpr std::size_t max_sources = 8;

} // namespace

config_spread::config_spread(config_digest in_force,
                             spread_options const& settings)
    : in_force_(in_force), settings_(settings) {}

std::vector<announcement>
config_spread::applied(config_digest config,
                       std::string const& own_http_address,
                       state const& members, random_engine& rng) {
    std::vector<announcement> out;
    if (config.revision <= in_force_.revision)
        return out;
    in_force_ = config;
    if (running_ && running_->config.revision <= in_force_.revision)
        running_.reset();
    for (auto const& m : members.sample(settings_.fanout, rng))
        out.push_back({{m.id, m.info.udp_address}, {config, own_http_address}});
    counters_.announced += out.size();
    return out;
}

std::optional<fetch_request>
config_spread::digest_received(received_digest const& digest, time_point now) {
    auto const revision = digest.config.revision;
    if (revision == in_force_.revision && digest.config != in_force_)
        ++counters_.conflicts;
    if (revision <= in_force_.revision || revision < pending_.revision)
        return std::nullopt;
    if (revision > pending_.revision) {
        pending_ = digest.config;
        sources_.clear();
        attempts_ = 0;
        retry_not_before_ = now;
    } else if (digest.config != pending_) {
        ++counters_.conflicts;
        return std::nullopt;
    }
    bool const known = std::find(sources_.begin(), sources_.end(),
                                 digest.http_address) != sources_.end();
    if (!known && !digest.http_address.empty() && sources_.size() < max_sources)
        sources_.push_back(digest.http_address);
    return next_fetch(now);
}

std::optional<fetch_request> config_spread::next_fetch(time_point now) {
    if (running_ || pending_.revision <= in_force_.revision ||
        now < retry_not_before_)
        return std::nullopt;
    fetch_request request{pending_, ""};
    if (attempts_ < settings_.peer_attempts && !sources_.empty()) {
        request.http_address = sources_.front();
        sources_.pop_front();
        ++attempts_;
    } else {
        attempts_ = 0;
    }
    ++counters_.fetches;
    deadline_ = now + settings_.fetch_timeout;
    running_ = request;
    return request;
}

std::optional<fetch_request> config_spread::fetch_failed(time_point now) {
    if (!running_)
        return std::nullopt;
    if (running_->http_address.empty())
        retry_not_before_ = now + settings_.retry_delay;
    running_.reset();
    ++counters_.fetch_failures;
    return next_fetch(now);
}

std::optional<fetch_request> config_spread::tick(time_point now) {
    if (running_ && now >= deadline_)
        return fetch_failed(now);
    return next_fetch(now);
}

} // namespace yuccabeam::membership
