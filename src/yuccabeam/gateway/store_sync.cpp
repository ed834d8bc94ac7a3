#include "yuccabeam/gateway/store_sync.hpp"

#include "yuccabeam/adapters/clock.hpp"
#include "yuccabeam/gateway/peer_message.hpp"

#include <algorithm>

namespace yuccabeam::gateway {

namespace {

using adapters::boot_now;
using http1::client_result;

constexpr std::chrono::milliseconds pull_timeout{700};
constexpr std::chrono::milliseconds pull_pause{100};

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

} // namespace

store_sync::store_sync(asio::any_io_executor executor, http1::client& client,
                       store_format const& format, store_sync_options options,
                       store_sync_callbacks callbacks,
                       telemetry::event_log& log)
    : executor_(std::move(executor)), client_(client), format_(format),
      options_(std::move(options)), callbacks_(std::move(callbacks)),
      log_(log) {}

void store_sync::tick(time_point now) {
    tend_entry(now);
    if (busy_ || now < next_call_)
        return;
    if (listing_due_) {
        listed_.clear();
        listing_revision_ = 0;
        list("");
    } else if (callbacks_.should_watch()) {
        watch();
    } else {
        watch_sound_ = false;
    }
}

void store_sync::call(http1::client_request request,
                      std::chrono::milliseconds timeout, handler handler) {
    ++counters_.calls;
    request.address = options_.address;
    request.connect_timeout = std::min(options_.call_timeout, timeout);
    request.timeout = timeout;
    client_.start(std::move(request),
                  [self = shared_from_this(),
                   handler = std::move(handler)](client_result result) {
                      auto const status = self->format_.status(result);
                      handler(status, std::move(result));
                  });
}

void store_sync::list(std::string after) {
    busy_ = true;
    ++counters_.listings;
    call(format_.list("", after), options_.call_timeout,
         [this](store_status status, client_result response) {
             busy_ = false;
             if (status == store_status::ok)
                 on_page(response);
             else
                 fail("list", status, response);
         });
}

void store_sync::on_page(client_result const& response) {
    auto page = format_.read_page(response.body);
    if (!page) {
        fail("list", store_status::failed, response);
        return;
    }
    if (listed_.empty() && listing_revision_ == 0)
        listing_revision_ = page->revision;
    auto const last = page->items.empty() ? "" : page->items.back().key;
    std::ranges::move(page->items, std::back_inserter(listed_));
    if (page->more && !last.empty()) {
        list(last);
        return;
    }
    listing_due_ = false;
    succeed();
    mirror_.replace(std::move(listed_), listing_revision_);
    listed_.clear();
    callbacks_.changed(mirror_.changes_since(0), true);
}

void store_sync::watch() {
    busy_ = true;
    auto const after = mirror_.revision();
    call(format_.watch("", after, options_.watch_wait),
         options_.watch_wait + options_.watch_slack,
         [this, after](store_status status, client_result response) {
             busy_ = false;
             on_watch(status, response, after);
         });
}

void store_sync::on_watch(store_status status, client_result const& response,
                          std::uint64_t after) {
    if (status == store_status::history_gone) {
        log_.write("store_history_gone", {{"after", std::to_string(after)}});
        listing_due_ = true;
        return;
    }
    auto changes = status == store_status::ok
                       ? format_.read_changes(response.body)
                       : std::nullopt;
    if (!changes) {
        fail("watch", status, response);
        return;
    }
    succeed();
    watch_sound_ = true;
    changes->base = after;
    bool const news = !changes->events.empty();
    mirror_.apply(*changes);
    if (news) {
        next_call_ = boot_now() + options_.batch_pause;
        callbacks_.changed(*changes, true);
    }
}

void store_sync::succeed() {
    failures_in_row_ = 0;
    if (trouble_)
        log_.write("store_regained",
                   {{"revision", std::to_string(mirror_.revision())}});
    trouble_ = false;
}

void store_sync::fail(std::string_view call, store_status status,
                      client_result const& response) {
    ++counters_.failures;
    watch_sound_ = false;
    if (!trouble_)
        log_.write("store_lost",
                   {{"call", std::string(call)},
                    {"status", std::string(to_string(status))},
                    {"transport", std::string(to_string(response.status))},
                    {"http", std::to_string(response.head.status)},
                    {"revision", std::to_string(mirror_.revision())}});
    trouble_ = true;
    // The first retry is at once: the connection may have gone silent while
    // the store is well.
    auto pause = std::chrono::milliseconds(0);
    if (failures_in_row_ > 0)
        pause = std::min(options_.retry_pause_max,
                         options_.retry_pause *
                             (1 << std::min(failures_in_row_ - 1, 4)));
    ++failures_in_row_;
    next_call_ = boot_now() + pause;
}

bool store_sync::take(mirror::store_changes const& changes) {
    if (changes.revision <= mirror_.revision())
        return true;
    if (!mirror_.apply(changes))
        return false;
    // What a peer gave replaces the first listing.
    listing_due_ = listing_due_ && mirror_.revision() == 0;
    callbacks_.changed(changes, false);
    return true;
}

void store_sync::pull(std::string const& control_address, time_point now) {
    if (pulling_ || now < next_pull_)
        return;
    pulling_ = true;
    next_pull_ = now + pull_pause;
    ++counters_.pulls;
    http1::client_request request;
    request.address = control_address;
    request.target =
        "/fleet/changes?after=" + std::to_string(mirror_.revision());
    request.fields = {{"Host", control_address}};
    request.timeout = pull_timeout;
    client_.start(std::move(request), [self = shared_from_this(),
                                       control_address](client_result result) {
        self->pulling_ = false;
        auto const received = result.status == http1::client_status::complete
                                  ? decode_changes(result.body)
                                  : std::nullopt;
        if (!received) {
            ++self->counters_.pull_failures;
            self->log_.write(
                "pull_failed",
                {{"peer", control_address},
                 {"transport", std::string(to_string(result.status))},
                 {"http", std::to_string(result.head.status)}});
            return;
        }
        self->callbacks_.peers_learnt(received->peers);
        self->take(received->changes);
    });
}

void store_sync::tend_entry(time_point now) {
    if (entry_busy_ || withdrawn_ || !loaded() || now < next_entry_call_)
        return;
    if (lease_ == 0)
        register_entry();
    else if (!entry_written_)
        put_entry();
    else {
        entry_busy_ = true;
        next_entry_call_ = now + options_.entry_renewal;
        call(format_.renew_lease(lease_), options_.call_timeout,
             [this](store_status status, client_result const&) {
                 entry_busy_ = false;
                 if (status == store_status::not_found) {
                     lease_ = 0;
                     next_entry_call_ = {};
                 }
             });
    }
}

void store_sync::register_entry() {
    entry_busy_ = true;
    next_entry_call_ = boot_now() + options_.retry_pause_max;
    call(format_.grant_lease(options_.entry_ttl), options_.call_timeout,
         [this](store_status status, client_result response) {
             entry_busy_ = false;
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
    entry_busy_ = true;
    next_entry_call_ = boot_now() + options_.retry_pause_max;
    call(format_.put({options_.entry_key, options_.entry_value, lease_}),
         options_.call_timeout,
         [this](store_status status, client_result const&) {
             entry_busy_ = false;
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
        call(format_.end_lease(lease_), options_.call_timeout,
             [](store_status, client_result const&) {});
    lease_ = 0;
}

} // namespace yuccabeam::gateway
