#include "yuccabeam/adapters/operator_rpc.hpp"

namespace yuccabeam::adapters {

operator_rpc::operator_rpc(std::string address,
                           json_rpc_dispatcher::handler answer)
    : dispatcher_(std::move(answer)),
      server_({.address = std::move(address)},
              whole_replies([this](auto const& request, auto const& reply) {
                  reply(json_reply(200, dispatcher_.dispatch(request.body)));
              })) {}

} // namespace yuccabeam::adapters
