#include "yuccabeam/limits/admission_queue.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <list>
#include <set>
#include <unordered_map>
#include <utility>

namespace yuccabeam::limits {

namespace {

constexpr std::size_t priority_count = 3;
constexpr std::uint32_t whole_share = 1000;

std::uint32_t thousandths(double share) {
    return static_cast<std::uint32_t>(
        std::lround(std::clamp(share, 0.0, 1.0) * whole_share));
}

// An entry with an unknown (zero) service time must still start before its
// deadline.
time_point latest_start_of(queue_entry const& entry) {
    return entry.deadline - std::max(entry.service_time, duration(1));
}

struct waiting_entry {
    entry_id id = 0;
    time_point latest_start;
    /// Reason reported if the entry is dropped after `latest_start`.
    drop_reason late = drop_reason::cannot_finish;
};

/// Entries of one account in one priority, oldest first.
struct account_queue {
    account_id id;
    std::uint64_t number = 0; ///< arrival order, breaks ties
    std::uint32_t weight = 1;
    std::uint32_t deficit = 0;
    std::list<waiting_entry> entries;
};

using account_position = std::list<account_queue>::iterator;
using entry_position = std::list<waiting_entry>::iterator;

/// Accounts with entries in one priority; the front one is served next.
struct priority_class {
    std::list<account_queue> turns;
    std::unordered_map<account_id, account_position> by_account;
    std::set<std::pair<std::size_t, std::uint64_t>> lengths;
    std::unordered_map<std::uint64_t, account_position> by_number;
    std::size_t size = 0;
    std::size_t quota = 0;   ///< guaranteed share of the capacity
    std::uint32_t share = 0; ///< guaranteed share of dispatches, thousandths
    std::uint32_t credit = 0;
};

struct location {
    std::size_t priority = 0;
    account_position account;
    entry_position entry;
};

} // namespace

class admission_queue::state {
public:
    explicit state(queue_options const& options) : options_(options) {
        auto& normal = classes_[1];
        auto& bulk = classes_[2];
        normal.share = thousandths(options.normal_share);
        bulk.share = thousandths(options.bulk_share);
        normal.quota = options.capacity * normal.share / whole_share;
        bulk.quota = std::min(options.capacity * bulk.share / whole_share,
                              options.capacity - normal.quota);
        classes_[0].quota = options.capacity - normal.quota - bulk.quota;
    }

    void insert(queue_entry const& entry, time_point now) {
        if (entries_.empty())
            non_empty_since_ = now;
        auto const priority = static_cast<std::size_t>(entry.priority);
        auto& in = classes_[priority];
        auto const account = account_of(in, entry);
        auto const wait = entry.priority == priority::bulk
                              ? options_.max_bulk_wait
                              : options_.max_wait;
        auto latest = latest_start_of(entry);
        auto late = drop_reason::cannot_finish;
        if (now + wait < latest) {
            latest = now + wait;
            late = drop_reason::waited_too_long;
        }
        account->entries.push_back({entry.id, latest, late});
        entries_.emplace(entry.id, location{priority, account,
                                            std::prev(account->entries.end())});
        by_latest_start_.emplace(latest, entry.id);
        in.lengths.erase({account->entries.size() - 1, account->number});
        in.lengths.emplace(account->entries.size(), account->number);
        ++in.size;
    }

    bool remove(entry_id id) {
        auto const found = entries_.find(id);
        if (found == entries_.end())
            return false;
        auto const [priority, account, entry] = found->second;
        entries_.erase(found);
        by_latest_start_.erase({entry->latest_start, id});
        auto& in = classes_[priority];
        in.lengths.erase({account->entries.size(), account->number});
        account->entries.erase(entry);
        --in.size;
        if (account->entries.empty()) {
            in.by_account.erase(account->id);
            in.by_number.erase(account->number);
            in.turns.erase(account);
        } else {
            in.lengths.emplace(account->entries.size(), account->number);
        }
        if (in.size == 0)
            in.credit = 0;
        return true;
    }

    void drop_late(time_point now, std::vector<queue_action>& out) {
        while (!by_latest_start_.empty() &&
               by_latest_start_.begin()->first < now) {
            auto const id = by_latest_start_.begin()->second;
            auto const reason = entries_.at(id).entry->late;
            remove(id);
            out.emplace_back(drop_entry{id, reason});
        }
    }

    void drop_surplus(time_point now, std::vector<queue_action>& out) {
        while (entries_.size() > options_.capacity) {
            auto const id = surplus_entry(now);
            remove(id);
            out.emplace_back(drop_entry{id, drop_reason::queue_full});
        }
    }

    entry_id take_next(time_point now) {
        auto const priority = next_priority();
        auto& in = classes_[priority];
        auto const account = next_account(in);
        auto const id = next_entry(priority, *account, now);
        remove(id);
        return id;
    }

    bool overloaded(time_point now) const {
        return !entries_.empty() &&
               now - non_empty_since_ >= options_.overload_after;
    }

    std::size_t size() const { return entries_.size(); }

    std::size_t size(priority level) const {
        return classes_[static_cast<std::size_t>(level)].size;
    }

    std::optional<time_point> next_drop() const {
        if (by_latest_start_.empty())
            return std::nullopt;
        return by_latest_start_.begin()->first + duration(1);
    }

private:
    account_position account_of(priority_class& in, queue_entry const& entry) {
        auto const [found, fresh] =
            in.by_account.try_emplace(entry.account, in.turns.end());
        if (fresh) {
            in.turns.push_back({entry.account, next_number_++, 1, 0, {}});
            found->second = std::prev(in.turns.end());
            in.by_number.emplace(found->second->number, found->second);
        }
        found->second->weight = std::max(1U, entry.weight);
        return found->second;
    }

    /// The entry to drop from a queue that exceeds its capacity. At least one
    /// priority is above its quota then, as the quotas add up to the capacity.
    entry_id surplus_entry(time_point now) const {
        std::size_t priority = priority_count - 1;
        while (priority > 0 &&
               classes_[priority].size <= classes_[priority].quota)
            --priority;
        auto const& in = classes_[priority];
        auto const& longest =
            *in.by_number.at(std::prev(in.lengths.end())->second);
        return newest_first(priority, now) ? longest.entries.front().id
                                           : longest.entries.back().id;
    }

    /// The highest priority with entries, unless a lower one has enough credit
    /// for a dispatch of its guaranteed share.
    std::size_t next_priority() {
        std::size_t chosen = 0;
        while (classes_[chosen].size == 0)
            ++chosen;
        for (auto lower = priority_count - 1; lower > chosen; --lower)
            if (classes_[lower].credit >= whole_share)
                chosen = lower;
        for (auto& in : classes_)
            if (in.size > 0)
                in.credit += in.share;
        auto& in = classes_[chosen];
        in.credit -= std::min(in.credit, whole_share);
        return chosen;
    }

    static account_position next_account(priority_class& in) {
        auto account = in.turns.begin();
        if (account->deficit == 0)
            account->deficit = account->weight;
        if (--account->deficit == 0)
            in.turns.splice(in.turns.end(), in.turns, account);
        return account;
    }

    bool newest_first(std::size_t priority, time_point now) const {
        return priority == static_cast<std::size_t>(priority::interactive) &&
               overloaded(now);
    }

    entry_id next_entry(std::size_t priority, account_queue const& account,
                        time_point now) const {
        return newest_first(priority, now) ? account.entries.back().id
                                           : account.entries.front().id;
    }

    queue_options options_;
    std::array<priority_class, priority_count> classes_;
    std::unordered_map<entry_id, location> entries_;
    std::set<std::pair<time_point, entry_id>> by_latest_start_;
    std::uint64_t next_number_ = 0;
    time_point non_empty_since_;
};

admission_queue::admission_queue(queue_options options)
    : state_(std::make_unique<state>(options)) {}
admission_queue::~admission_queue() = default;
admission_queue::admission_queue(admission_queue&&) noexcept = default;
admission_queue&
admission_queue::operator=(admission_queue&&) noexcept = default;

std::vector<queue_action> admission_queue::push(queue_entry const& entry,
                                                time_point now) {
    std::vector<queue_action> out;
    if (latest_start_of(entry) < now) {
        out.emplace_back(drop_entry{entry.id, drop_reason::cannot_finish});
        return out;
    }
    state_->drop_late(now, out);
    state_->insert(entry, now);
    state_->drop_surplus(now, out);
    return out;
}

std::vector<queue_action> admission_queue::take(std::size_t free_slots,
                                                time_point now) {
    std::vector<queue_action> out;
    state_->drop_late(now, out);
    for (; free_slots > 0 && state_->size() > 0; --free_slots)
        out.emplace_back(dispatch_entry{state_->take_next(now)});
    return out;
}

bool admission_queue::cancel(entry_id id) {
    return state_->remove(id);
}

std::size_t admission_queue::size() const {
    return state_->size();
}

std::size_t admission_queue::size(priority level) const {
    return state_->size(level);
}

std::optional<time_point> admission_queue::next_drop() const {
    return state_->next_drop();
}

bool admission_queue::overloaded(time_point now) const {
    return state_->overloaded(now);
}

} // namespace yuccabeam::limits
