#include "relay.hpp"

#include "yuccabeam/daemon/http_rules.hpp"
#include "yuccabeam/daemon/peer_auth.hpp"

namespace yuccabeam::daemon {

relayed_request::relayed_request(relay_options options,
                                 adapters::target_client& client,
                                 std::atomic<std::uint64_t>& running,
                                 adapters::http_request request,
                                 adapters::http_responder_ptr responder)
    : options_(std::move(options)), client_(client), running_(running),
      request_(std::move(request)), answer_(std::move(responder), client) {
    ++running_;
}

relayed_request::~relayed_request() {
    --running_;
}

void relayed_request::start() {
    adapters::target_call call;
    call.address = options_.address;
    call.method = request_.method;
    call.request_target = request_.target;
    call.fields = fields_for_target(request_.fields);
    call.fields.push_back({std::string(peer_auth_field),
                           peer_auth(options_.shared_key, request_.target)});
    call.fields.push_back(
        {"Yuccabeam-Deadline-Ms", std::to_string(options_.timeout.count())});
    call.body = request_.body;
    call.head_timeout = options_.timeout;
    call.fresh_connection = true;
    std::lock_guard lock(mutex_);
    call_ = client_.start(std::move(call), shared_from_this());
}

void relayed_request::on_head(adapters::answer_head head) {
    std::lock_guard lock(mutex_);
    started_ = true;
    answer_.start(head, fields_for_relay(head.fields));
}

bool relayed_request::on_data(std::string_view part) {
    std::lock_guard lock(mutex_);
    return answer_.write(part, [self = shared_from_this()](auto bytes, bool) {
        std::lock_guard lock(self->mutex_);
        self->answer_.written(bytes, self->call_);
    });
}

void relayed_request::on_end(adapters::call_end end) {
    std::lock_guard lock(mutex_);
    if (!started_)
        answer_.responder().send(
            fault_reply(502, options_.request_id, "unknown",
                        "the daemon that owns the ticket did not answer"));
    else if (end.status == adapters::call_status::complete)
        answer_.finish();
    else
        answer_.abort();
}

} // namespace yuccabeam::daemon
