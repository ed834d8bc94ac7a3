#include "yuccabeam/gateway/peer_link.hpp"

#include <utility>
#include <variant>

namespace yuccabeam::gateway {

namespace {

// Heartbeats to daemons that were just added or restarted, in one tick. When a
// large fleet starts, all daemons are new to each other.
constexpr std::size_t max_greetings_per_tick = 40;
// Daemons of each other failure domain to which a large fleet sends changes of
// the store, in case the domain has nobody who reads them from the store.
constexpr std::size_t change_samples = 2;
// Upper bound of the bytes of an event beside its key and value.
constexpr std::size_t event_overhead_bytes = 24;
// Datagrams with small changes sent ahead of large ones; the peers pull the
// rest.
constexpr std::size_t max_early_datagrams = 32;

peer_table_options table_options_of(peer_link_options const& options) {
    peer_table_options out;
    out.self = {options.address};
    out.failure_domain = options.failure_domain;
    out.failure_domains = options.failure_domains;
    out.processor_percent = options.processor_percent;
    return out;
}

} // namespace

peer_link::peer_link(peer_link_options options,
                     placement::target_table& targets,
                     peer_link_callbacks callbacks)
    : options_(std::move(options)), targets_(targets),
      callbacks_(std::move(callbacks)), table_(table_options_of(options_)),
      relays_({options_.address, options_.processor_percent}),
      // The numbers of an earlier process must not be taken for copies.
      next_notice_number_(options_.incarnation) {}

// --- sending and receiving ---------------------------------------------------

void peer_link::send(peer_message const& message,
                     std::vector<std::string> const& addresses) {
    if (addresses.empty())
        return;
    counters_.sent[message.index()] += addresses.size();
    callbacks_.send(encode(message), addresses);
}

void peer_link::send(peer_message const& message, std::string const& address) {
    send(message, std::vector<std::string>{address});
}

void peer_link::receive(std::span<std::uint8_t const> bytes, time_point now) {
    auto const read = decode(bytes);
    if (auto const* fault = std::get_if<codec::message_fault>(&read)) {
        callbacks_.on_rejected(*fault);
        return;
    }
    auto const& message = std::get<peer_message>(read);
    ++counters_.received[message.index()];
    std::visit([&](auto const& known) { handle(known, now); }, message);
}

void peer_link::tick(time_point now) {
    if (leaving_)
        return;
    if (auto const added = table_.take_ungreeted(max_greetings_per_tick);
        !added.empty())
        send_heartbeats(added);
    select_relay(now);
    send_loads(now);
    if (now < next_heartbeat_)
        return;
    table_.forget_silent(now);
    bool const to_all = now >= next_other_domains_heartbeat_;
    if (to_all) {
        send_heartbeats(table_.addresses());
        next_other_domains_heartbeat_ = now + table_.periods().other_domains;
    } else {
        send_heartbeats(table_.same_domain_addresses());
    }
    next_heartbeat_ = now + table_.periods().same_domain;
}

// --- heartbeats --------------------------------------------------------------

heartbeat peer_link::own_heartbeat() {
    heartbeat out;
    out.sender = {options_.address};
    out.control = options_.control;
    out.failure_domain = options_.failure_domain;
    out.incarnation = options_.incarnation;
    out.processor_percent = options_.processor_percent;
    callbacks_.fill_heartbeat(out);
    return out;
}

void peer_link::send_heartbeats(std::vector<std::string> const& addresses) {
    if (!leaving_)
        send(own_heartbeat(), addresses);
}

void peer_link::announce_to_domain(time_point now) {
    send_heartbeats(table_.same_domain_addresses());
    next_heartbeat_ = now + table_.periods().same_domain;
}

void peer_link::send_leaving(time_point) {
    auto message = own_heartbeat();
    message.leaving = true;
    send(message, table_.addresses());
    leaving_ = true;
}

void peer_link::handle(heartbeat const& message, time_point now) {
    bool const is_new = table_.on_heartbeat(message, now);
    if (!message.leaving)
        callbacks_.on_heartbeat(message, is_new);
}

// --- retry credit ------------------------------------------------------------

void peer_link::request_credit(service_id const& service,
                               placement::addressed_credit_request const& due) {
    send(credit_request_message{{options_.address}, service, due.request},
         due.grantor.value);
}

void peer_link::handle(credit_request_message const& message, time_point) {
    send(credit_grant_message{{options_.address},
                              message.service,
                              callbacks_.on_credit_request(message)},
         message.sender.value);
}

void peer_link::handle(credit_grant_message const& message, time_point) {
    callbacks_.on_credit_grant(message);
}

// --- quotas ------------------------------------------------------------------

void peer_link::handle(quota_request_message const& message, time_point) {
    if (callbacks_.on_quota_request)
        callbacks_.on_quota_request(message);
}

void peer_link::handle(quota_grant_message const& message, time_point) {
    if (callbacks_.on_quota_grant)
        callbacks_.on_quota_grant(message);
}

void peer_link::handle(quota_release_message const& message, time_point) {
    if (callbacks_.on_quota_release)
        callbacks_.on_quota_release(message);
}

// --- changes of the store ----------------------------------------------------

std::vector<std::string> peer_link::same_domain_and_samples(time_point now) {
    auto out = table_.same_domain_addresses();
    ++domain_activity_round_;
    for (auto const& [domain, addresses] : table_.other_domain_addresses(now))
        for (std::size_t i = 0; i < change_samples && i < addresses.size(); ++i)
            out.push_back(
                addresses[(domain_activity_round_ * change_samples + i) %
                          addresses.size()]);
    return out;
}

void peer_link::forward_changes(mirror::store_changes const& changes,
                                time_point now) {
    bool const relayed = table_.uses_relays();
    auto const receivers =
        relayed ? same_domain_and_samples(now) : table_.addresses();
    change_message const message{
        {options_.address}, options_.control, relayed, changes};
    if (encode(message).size() <= max_datagram_bytes) {
        send(message, receivers);
        return;
    }
    forward_small_changes(message, receivers);
    send_heartbeats(receivers);
}

// A target that leaves must not wait until its peers have the configuration
// that was changed with it. With the newest revision as their base, a receiver
// knows that it is missing changes before these.
void peer_link::forward_small_changes(
    change_message message, std::vector<std::string> const& receivers) {
    auto const events = std::exchange(message.changes.events, {});
    message.changes.base = message.changes.revision;
    std::size_t const empty_bytes = encode(message).size();
    std::size_t bytes = empty_bytes;
    std::size_t sent = 0;
    auto const flush = [&] {
        if (!message.changes.events.empty() && sent++ < max_early_datagrams)
            send(message, receivers);
        message.changes.events.clear();
        bytes = empty_bytes;
    };
    for (auto const& event : events) {
        auto const size = event.item.key.size() + event.item.value.size() +
                          event_overhead_bytes;
        if (empty_bytes + size > max_datagram_bytes)
            continue;
        if (bytes + size > max_datagram_bytes)
            flush();
        message.changes.events.push_back(event);
        bytes += size;
    }
    flush();
}

void peer_link::handle(change_message const& message, time_point now) {
    table_.add_address(message.sender.value, now);
    bool const missing = callbacks_.on_changes(message);
    if (!missing || !message.forward ||
        table_.in_same_domain(message.sender.value))
        return;
    // No daemon of this failure domain has read them from the store yet.
    auto forwarded = message;
    forwarded.forward = false;
    send(forwarded, table_.same_domain_addresses());
}

} // namespace yuccabeam::gateway
