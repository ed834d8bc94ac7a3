#include "yuccabeam/gateway/store_sync.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/gateway/control_service.hpp"
#include "yuccabeam/gateway/copy_compression.hpp"
#include "yuccabeam/gateway/peer_message.hpp"
#include "yuccabeam/mirror/store_era.hpp"

#include <algorithm>

namespace yuccabeam::gateway {

namespace {

using adapters::boot_now;
using http1::client_result;

constexpr std::chrono::milliseconds min_pull_interval{50};
// Pulls at the same time, of which all but one are slow.
constexpr std::size_t max_pulls = 3;

std::string_view to_string(store_status status) {
    switch (status) {
    case store_status::ok:
        return "ok";
    case store_status::history_gone:
        return "history_gone";
    case store_status::conflict:
        return "conflict";
    case store_status::not_found:
        return "not_found";
    case store_status::busy:
        return "busy";
    case store_status::failed:
        return "failed";
    }
    return "unknown";
}

std::string_view to_string(store_call call) {
    switch (call) {
    case store_call::list:
        return "list";
    case store_call::watch:
        return "watch";
    case store_call::check:
        return "check";
    }
    return "unknown";
}

// How far a call got: a full link and a silent peer look alike otherwise.
void append_transfer(telemetry::log_fields& fields,
                     client_result const& result) {
    auto const add = [&](char const* name, auto value) {
        fields.push_back({name, std::to_string(value)});
    };
    add("bytes", result.bytes_read);
    if (result.head.framing == http1::body_framing::length)
        add("announced", result.head.content_length);
    add("ms", to_milliseconds(result.total_time));
    add("idle_ms", to_milliseconds(result.idle_time));
}

std::optional<changes_and_peers> changes_of(client_result const& response) {
    if (response.status != http1::client_status::complete)
        return std::nullopt;
    if (http1::field_value(response.head.fields, "Content-Encoding") !=
        copy_coding)
        return decode_changes(response.body);
    auto const plain = decompress_copy(response.body);
    return plain ? decode_changes(*plain) : std::nullopt;
}

// The store answered at the latest then. A large response takes longer.
time_point first_byte_at(client_result const& response) {
    return boot_now() - (response.total_time - response.first_byte_time);
}

} // namespace

store_sync::store_sync(asio::any_io_executor executor, http1::client& client,
                       store_format const& format, store_sync_options options,
                       store_sync_callbacks callbacks,
                       telemetry::event_log& log)
    : executor_(std::move(executor)), client_(client), format_(format),
      options_(std::move(options)), callbacks_(std::move(callbacks)), log_(log),
      schedule_(options_.schedule), availability_(options_.availability),
      transfers_(client_, options_.pace) {}

void store_sync::tick(time_point now) {
    maintain_entry(now);
    find_slow_transfers(now);
    auto const plan =
        schedule_.next(callbacks_.should_watch(), now,
                       transfers_.arriving() || awaits_peers(now));
    if (!plan)
        return;
    if (plan->kind == store_call::list) {
        listed_.clear();
        listing_revision_ = 0;
        list(*plan, "");
    } else {
        watch(*plan);
    }
}

void store_sync::call(http1::client_request request,
                      std::chrono::milliseconds timeout, handler handler) {
    address_store(request, timeout);
    client_.start(std::move(request), store_handler(std::move(handler)));
}

void store_sync::read(http1::client_request request, planned_call const& plan,
                      handler handler) {
    address_store(request, plan.timeout);
    receive({options_.address, plan.kind}, std::move(request),
            store_handler(std::move(handler)));
}

void store_sync::address_store(http1::client_request& request,
                               std::chrono::milliseconds timeout) {
    ++counters_.calls;
    request.address = options_.address;
    request.connect_timeout = std::min(options_.call_timeout, timeout);
    request.timeout = timeout;
}

void store_sync::receive(transfer_source source, http1::client_request request,
                         http1::client::handler handler) {
    request.progress = options_.progress;
    transfers_.start(std::move(source), std::move(request), std::move(handler));
}

// A response that trickles would otherwise keep this daemon from asking anybody
// else until the limit of the whole transfer.
void store_sync::find_slow_transfers(time_point now) {
    for (auto const& slow : transfers_.measure(now)) {
        ++counters_.slow_transfers;
        auto const& call = slow.source.call;
        log_.write("transfer_slow",
                   {{"from", slow.source.address},
                    {"call", call ? std::string(to_string(*call)) : "pull"},
                    {"bytes", std::to_string(slow.bytes)}});
        if (!call)
            sources_.on_failed(slow.source.address, now);
    }
}

// What they bring is known by now. Their part of the link is free for others.
void store_sync::end_slow_calls() {
    for (auto const call : transfers_.end_slow_calls())
        schedule_.on_ended(call);
}

http1::client::handler store_sync::store_handler(handler handler) {
    return [self = shared_from_this(),
            handler = std::move(handler)](client_result result) {
        auto status = self->format_.status(result);
        if (status != store_status::failed) {
            auto const era = self->era_of(result);
            self->on_era(era, boot_now());
            // An answer that was given before the store's return describes a
            // state that is lost. Responses to errors may name no era.
            if (era > 0 && era < self->era_)
                status = store_status::failed;
        }
        handler(status, std::move(result));
    };
}

std::uint64_t store_sync::era_of(client_result const& response) const {
    if (!format_.era)
        return 0;
    // An era that can't be read is none that this daemon could compare.
    return format_.era(response.head).value_or(mirror::max_store_era + 1);
}

// The store has lost what this daemon wrote last, and may have given the id of
// its lease to another one.
void store_sync::on_era(std::uint64_t era, time_point now) {
    if (era <= era_ || era > mirror::max_store_era)
        return;
    auto const before = std::exchange(era_, era);
    if (!loaded() || era <= mirror::era_of(mirror_.revision()))
        return;
    log_.write("store_restored", {{"era", std::to_string(era)},
                                  {"before", std::to_string(before)}});
    availability_.on_restored(now);
    lease_ = 0;
    entry_written_ = false;
    next_entry_call_ = now + options_.schedule.check_delay;
}

void store_sync::list(planned_call const& plan, std::string after) {
    ++counters_.listings;
    read(format_.list("", after, plan.may_be_stale), plan,
         [this, plan](store_status status, client_result response) {
             if (status == store_status::ok)
                 on_page(plan, response);
             else
                 fail(plan, status, response);
         });
}

void store_sync::on_page(planned_call const& plan,
                         client_result const& response) {
    auto page = format_.read_page(response.body);
    auto const era = era_of(response);
    bool const first = listing_revision_ == 0;
    // Pages of two eras are no listing of either.
    if (!page || !mirror::set_era(*page, era) || era < era_ ||
        (!first && mirror::era_of(listing_revision_) != era)) {
        fail(plan, store_status::failed, response);
        return;
    }
    // The pages of a stale listing may come from states of different age.
    listing_revision_ =
        first ? page->revision : std::min(listing_revision_, page->revision);
    auto const last = page->items.empty() ? "" : page->items.back().key;
    std::ranges::move(page->items, std::back_inserter(listed_));
    if (page->more && !last.empty()) {
        list(plan, last);
        return;
    }
    succeed(plan, response, true);
    mirror_.replace(std::move(listed_), listing_revision_);
    listed_.clear();
    callbacks_.changed(mirror_.changes_since(0), true);
    // Otherwise all daemons would list the store when it has forgotten its
    // history.
    if (!plan.may_be_stale)
        callbacks_.confirmed();
}

void store_sync::watch(planned_call const& plan) {
    auto const after = mirror_.revision();
    auto request = format_.watch("", mirror::store_number_of(after), plan.wait);
    // A pooled connection may be the one that receives no data any more.
    if (plan.kind == store_call::check) {
        ++counters_.checks;
        request.reuse = false;
    }
    read(std::move(request), plan,
         [this, plan, after](store_status status, client_result response) {
             on_watch(plan, status, response, after);
         });
}

void store_sync::on_watch(planned_call const& plan, store_status status,
                          client_result const& response, std::uint64_t after) {
    if (status == store_status::history_gone) {
        log_.write("store_history_gone", {{"after", std::to_string(after)}});
        on_answer(plan, response);
        schedule_.on_history_gone(plan.kind);
        return;
    }
    auto changes = status == store_status::ok
                       ? format_.read_changes(response.body)
                       : std::nullopt;
    auto const era = era_of(response);
    if (!changes || !mirror::set_era(*changes, era) || era < era_) {
        fail(plan, status, response);
        return;
    }
    // The number may exist in both eras, with other changes before it.
    if (era > mirror::era_of(after)) {
        on_answer(plan, response);
        schedule_.on_history_gone(plan.kind);
        return;
    }
    bool const has_changes = !changes->events.empty();
    if (plan.kind == store_call::check)
        log_.write("store_checked",
                   {{"copy_age_ms",
                     std::to_string(to_milliseconds(copy_age(boot_now())))},
                    {"after", std::to_string(after)},
                    {"revision", std::to_string(changes->revision)}});
    succeed(plan, response, has_changes);
    changes->base = after;
    mirror_.apply(*changes);
    end_slow_calls();
    if (has_changes)
        callbacks_.changed(*changes, true);
    callbacks_.confirmed();
}

void store_sync::succeed(planned_call const& plan,
                         client_result const& response, bool has_changes) {
    if (last_call_failed())
        log_.write("store_regained",
                   {{"revision", std::to_string(mirror_.revision())}});
    changed_after_ = schedule_.confirmed_at();
    on_answer(plan, response);
    schedule_.on_answer(plan, has_changes, first_byte_at(response));
}

void store_sync::on_answer(planned_call const& plan,
                           client_result const& response) {
    auto const at = time_of_answer(plan, first_byte_at(response));
    auto const before = availability_.period();
    availability_.on_answer(at);
    if (before && availability_.period()->since > before->until)
        log_.write("store_returned",
                   {{"outage_ms",
                     std::to_string(to_milliseconds(at - before->until))}});
}

void store_sync::fail(planned_call const& plan, store_status status,
                      client_result const& response) {
    ++counters_.failures;
    if (!last_call_failed()) {
        telemetry::log_fields fields{
            {"call", std::string(to_string(plan.kind))},
            {"status", std::string(to_string(status))},
            {"transport", std::string(to_string(response.status))},
            {"http", std::to_string(response.head.status)},
            {"revision", std::to_string(mirror_.revision())}};
        append_transfer(fields, response);
        log_.write("store_lost", fields);
    }
    schedule_.on_failure(plan.kind, boot_now());
}

bool store_sync::apply_peer_changes(mirror::store_changes const& changes) {
    if (changes.revision <= mirror_.revision())
        return true;
    auto const era = mirror::era_of(changes.revision);
    on_era(era, boot_now());
    if (loaded() && era < era_)
        return true;
    if (!mirror_.apply(changes)) {
        apply_early(changes);
        return false;
    }
    schedule_.on_peer_changes();
    end_slow_calls();
    changed_after_ = schedule_.confirmed_at();
    callbacks_.changed(changes, false);
    return true;
}

void store_sync::apply_early(mirror::store_changes const& changes) {
    if (!loaded() ||
        mirror::era_of(changes.revision) != mirror::era_of(mirror_.revision()))
        return;
    mirror::store_changes const early{changes.base, changes.revision,
                                      mirror_.apply_early(changes.events)};
    if (early.events.empty())
        return;
    counters_.early_changes += early.events.size();
    changed_after_ = schedule_.confirmed_at();
    callbacks_.changed(early, false);
}

void store_sync::on_confirmed(std::uint64_t revision, time_point at) {
    if (revision <= mirror_.revision())
        schedule_.on_confirmed(at);
}

void store_sync::on_available(available_period const& period) {
    availability_.on_period(period);
}

void store_sync::pull(std::vector<newer_copy> const& ahead,
                      std::uint64_t random, time_point now) {
    if (transfers_.pulls() > transfers_.slow_pulls() ||
        transfers_.pulls() >= max_pulls || now < next_pull_)
        return;
    if (!pulling_since_)
        pulling_since_ = now;
    auto const source = sources_.choose(ahead, random, now);
    if (source.empty())
        return;
    next_pull_ = now + min_pull_interval;
    ++counters_.pulls;
    auto request =
        request_of(changes_request{mirror_.revision(), true, options_.control});
    request.address = source;
    request.fields.push_back({"Host", source});
    request.timeout = options_.pull_timeout;
    receive({source, std::nullopt}, std::move(request),
            [self = shared_from_this(), source](client_result const& result) {
                self->on_pulled(source, result);
            });
}

void store_sync::on_current() {
    sources_.on_current();
    transfers_.end_slow_pulls();
    pulling_since_.reset();
}

bool store_sync::awaits_peers(time_point now) const {
    return pulling_since_ && now - *pulling_since_ < options_.peers_first;
}

void store_sync::on_pulled(std::string const& source,
                           client_result const& response) {
    constexpr int service_unavailable = 503;
    if (auto const received = changes_of(response)) {
        callbacks_.peers_discovered(received->peers);
        apply_peer_changes(received->changes);
        return;
    }
    if (response.status == http1::client_status::complete &&
        response.head.status == service_unavailable) {
        auto named = referrals_in(response);
        std::erase(named, options_.control);
        sources_.on_busy(source, named, boot_now());
        return;
    }
    ++counters_.pull_failures;
    sources_.on_failed(source, boot_now());
    telemetry::log_fields fields{
        {"peer", source},
        {"transport", std::string(to_string(response.status))},
        {"http", std::to_string(response.head.status)}};
    append_transfer(fields, response);
    log_.write("pull_failed", fields);
}

void store_sync::maintain_entry(time_point now) {
    if (entry_call_in_flight_ || withdrawn_ || !loaded() ||
        now < next_entry_call_)
        return;
    if (lease_ == 0)
        register_entry();
    else if (!entry_written_)
        put_entry();
    else {
        entry_call_in_flight_ = true;
        next_entry_call_ = now + options_.entry_renewal;
        call(format_.renew_lease(lease_), options_.call_timeout,
             [this](store_status status, client_result const&) {
                 entry_call_in_flight_ = false;
                 if (status == store_status::not_found) {
                     lease_ = 0;
                     next_entry_call_ = {};
                 }
             });
    }
}

void store_sync::register_entry() {
    entry_call_in_flight_ = true;
    next_entry_call_ = boot_now() + options_.entry_retry;
    call(format_.grant_lease(options_.entry_ttl), options_.call_timeout,
         [this](store_status status, client_result response) {
             entry_call_in_flight_ = false;
             if (status != store_status::ok)
                 return;
             auto const lease = format_.read_lease(response.body);
             if (!lease)
                 return;
             lease_ = *lease;
             entry_written_ = false;
             next_entry_call_ = {};
         });
}

void store_sync::put_entry() {
    entry_call_in_flight_ = true;
    next_entry_call_ = boot_now() + options_.entry_retry;
    call(format_.put({options_.entry_key, options_.entry_value, lease_}),
         options_.call_timeout,
         [this](store_status status, client_result const&) {
             entry_call_in_flight_ = false;
             if (status == store_status::not_found)
                 lease_ = 0;
             if (status != store_status::ok)
                 return;
             entry_written_ = true;
             next_entry_call_ = boot_now() + options_.entry_renewal;
         });
}

void store_sync::withdraw() {
    withdrawn_ = true;
    if (lease_ != 0)
        call(format_.revoke_lease(lease_), options_.call_timeout,
             [](store_status, client_result const&) {});
    lease_ = 0;
}

} // namespace yuccabeam::gateway
