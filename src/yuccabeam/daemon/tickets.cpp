#include "yuccabeam/daemon/tickets.hpp"

namespace yuccabeam::daemon {

namespace {

class ticket_guard final : public run_guard {
public:
    ticket_guard(std::shared_ptr<tickets> owner, retry::ticket ticket)
        : owner_(std::move(owner)), ticket_(std::move(ticket)) {}

    // A request that is dropped without an outcome may have run.
    ~ticket_guard() override {
        if (!ended_)
            owner_->finish(ticket_, retry::run_outcome::unknown, 0);
    }

    // The table lives as long as this process, so a pause changes nothing.
    bool may_send(time_point, time_point) const override { return true; }

    void end(retry::run_outcome outcome, int status, settled done) override {
        ended_ = true;
        owner_->finish(ticket_, outcome, status);
        done(outcome);
    }

private:
    std::shared_ptr<tickets> owner_;
    retry::ticket ticket_;
    bool ended_ = false;
};

} // namespace

tickets::tickets(daemon_id self, incarnation self_incarnation, std::string key)
    : key_(std::move(key)), table_(std::move(self), self_incarnation) {}

std::string tickets::issue() {
    std::lock_guard lock(mutex_);
    return retry::format_ticket(table_.issue(), key_);
}

result<retry::ticket> tickets::parse(std::string_view text) const {
    return retry::parse_ticket(text, key_);
}

std::variant<run_guard_ptr, retry::ticket_answer>
tickets::use(retry::ticket const& ticket) {
    std::lock_guard lock(mutex_);
    auto const answer = table_.use(ticket);
    if (answer.use != retry::ticket_use::run)
        return answer;
    return std::make_shared<ticket_guard>(shared_from_this(), ticket);
}

void tickets::finish(retry::ticket const& ticket, retry::run_outcome outcome,
                     int status) {
    std::lock_guard lock(mutex_);
    table_.finish(ticket, outcome, status);
}

} // namespace yuccabeam::daemon
