#include "yuccabeam/gateway/peer_link.hpp"

#include "yuccabeam/adapters/clock.hpp"

#include <variant>

namespace yuccabeam::gateway {

namespace {

constexpr std::size_t max_datagram_bytes = 1'200;
// Minimum interval between two activity messages, per receiving daemon. More
// frequent messages would use up the CPU of a small VM.
constexpr duration activity_period_per_peer = std::chrono::microseconds(500);
// Approximate interval at which a failure domain reports its activity to the
// others. Its daemons share the work: each sends at a multiple of the interval.
constexpr duration domain_activity_period = std::chrono::milliseconds(100);

} // namespace

peer_link::peer_link(peer_link_options options, peer_link_callbacks callbacks)
    : options_(std::move(options)), callbacks_(std::move(callbacks)),
      table_({{options_.address},
              options_.failure_domain,
              options_.failure_domains}) {}

result<void> peer_link::open(asio::io_context& context) {
    net::peer_transport_options options;
    options.bind_address = options_.address;
    options.max_datagram_bytes = max_datagram_bytes;
    auto opened = net::peer_transport::open(
        context, options,
        [this](net::peer_transport::bytes_view bytes, std::string const&) {
            receive(bytes, adapters::boot_now());
        });
    if (!opened)
        return opened.error();
    transport_ = std::move(opened.value());
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

heartbeat peer_link::own_heartbeat(bool wants_reply) const {
    heartbeat out;
    out.sender = {options_.address};
    out.control = options_.control;
    out.failure_domain = options_.failure_domain;
    out.incarnation = options_.incarnation;
    out.wants_reply = wants_reply;
    callbacks_.fill_heartbeat(out);
    return out;
}

void peer_link::send(std::vector<std::uint8_t> const& bytes,
                     std::vector<std::string> const& addresses) {
    for (auto const& address : addresses)
        transport_->send(bytes, address);
}

void peer_link::send_all(peer_message const& message) {
    send(encode(message), table_.addresses());
}

void peer_link::send_heartbeats(time_point now, bool to_all_domains) {
    if (leaving_)
        return;
    auto const message = own_heartbeat(false);
    auto const bytes = encode(message);
    for (auto const& address : table_.addresses())
        if (to_all_domains || table_.in_same_domain(address))
            transport_->send(bytes, address);
    auto const& periods = options_.periods;
    next_heartbeat_ = now + periods.same_domain;
    if (to_all_domains)
        next_other_domains_heartbeat_ = now + periods.other_domains;
}

void peer_link::tick(time_point now) {
    if (!activity_.empty() && now >= next_activity_)
        send_activity(now);
    if (now >= next_domain_activity_)
        send_domain_activity(now);
    if (now < next_heartbeat_)
        return;
    table_.forget_silent(now);
    send_heartbeats(now, now >= next_other_domains_heartbeat_);
}

void peer_link::announce(time_point now) {
    send_heartbeats(now, true);
}

void peer_link::announce_to_domain(time_point now) {
    send_heartbeats(now, false);
}

void peer_link::send_leaving(time_point) {
    auto message = own_heartbeat(false);
    message.leaving = true;
    send_all(message);
    leaving_ = true;
}

void peer_link::broadcast(placement::target_notice const& notice) {
    send_all(target_notice_message{{options_.address}, notice});
}

void peer_link::request_credit(service_id const& service,
                               placement::addressed_credit_request const& due) {
    transport_->send(encode(credit_request_message{
                         {options_.address}, service, due.request}),
                     due.grantor.value);
}

void peer_link::report_activity(placement::target_activity const& activity,
                                time_point now) {
    activity_[activity.target] = activity;
    if (now >= next_activity_)
        send_activity(now);
}

void peer_link::send_activity(time_point now) {
    activity_message message{{options_.address}, {}};
    for (auto at = activity_.begin();
         at != activity_.end() &&
         message.targets.size() < max_activities_per_message;
         at = activity_.erase(at))
        message.targets.push_back(at->second);
    auto const peers = table_.same_domain_addresses(now);
    next_activity_ = now + activity_period_per_peer * peers.size();
    send(encode(message), peers);
}

void peer_link::send_domain_activity(time_point now) {
    auto const peers = table_.same_domain_addresses(now).size();
    next_domain_activity_ = now + domain_activity_period * (peers + 1);
    domain_activity_message message{{options_.address},
                                    options_.failure_domain,
                                    true,
                                    callbacks_.domain_activity()};
    if (message.targets.size() > max_activities_per_message)
        message.targets.resize(max_activities_per_message);
    auto const bytes = encode(message);
    ++domain_activity_round_;
    for (auto const& [domain, addresses] : table_.other_domain_addresses(now))
        transport_->send(bytes,
                         addresses[domain_activity_round_ % addresses.size()]);
}

void peer_link::send_to_domain(peer_message const& message, time_point now) {
    send(encode(message), table_.same_domain_addresses(now));
}

void peer_link::forward_changes(mirror::store_changes const& changes,
                                time_point now) {
    auto const bytes =
        encode(change_message{{options_.address}, options_.control, changes});
    if (bytes.size() > max_datagram_bytes) {
        announce(now);
        return;
    }
    send(bytes, table_.addresses());
}

void peer_link::receive(std::span<std::uint8_t const> bytes, time_point now) {
    auto const message = decode(bytes);
    if (message)
        std::visit([&](auto const& known) { handle(known, now); }, *message);
    else
        callbacks_.on_malformed();
}

void peer_link::handle(heartbeat const& message, time_point now) {
    bool const is_new = table_.on_heartbeat(message, now);
    if (message.leaving)
        return;
    callbacks_.on_heartbeat(message, is_new);
    if (message.wants_reply && !leaving_)
        transport_->send(encode(own_heartbeat(false)), message.sender.value);
}

void peer_link::handle(target_notice_message const& message, time_point) {
    callbacks_.on_target_notice(message);
}

void peer_link::handle(activity_message const& message, time_point) {
    callbacks_.on_activity(message);
}

void peer_link::handle(domain_activity_message const& message, time_point now) {
    callbacks_.on_domain_activity(message);
    if (!message.forward)
        return;
    auto forwarded = message;
    forwarded.forward = false;
    send_to_domain(forwarded, now);
}

void peer_link::handle(credit_request_message const& message, time_point) {
    credit_grant_message const reply{{options_.address},
                                     message.service,
                                     callbacks_.on_credit_request(message)};
    transport_->send(encode(reply), message.sender.value);
}

void peer_link::handle(credit_grant_message const& message, time_point) {
    callbacks_.on_credit_grant(message);
}

void peer_link::handle(change_message const& message, time_point now) {
    table_.add_address(message.sender.value, now);
    callbacks_.on_changes(message);
}

} // namespace yuccabeam::gateway
