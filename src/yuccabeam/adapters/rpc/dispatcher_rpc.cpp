#include "yuccabeam/adapters/json_rpc.hpp"

#include <jsonrpccpp/server.h>
#include <mutex>
#include <utility>

namespace yuccabeam {
namespace adapters {

namespace {

// Connects libjsonrpccpp to an HTTP server that the caller runs: its own one
// listens on all addresses of the VM.
class direct_connector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    bool SendResponse(std::string const& response, void* out) override {
        *static_cast<std::string*>(out) = response;
        return true;
    }
};

// Members are constructed before the base that uses them.
struct connector_holder {
    direct_connector connector;
};

} // namespace

class json_rpc_dispatcher::implementation
    : private connector_holder,
      public jsonrpc::AbstractServer<json_rpc_dispatcher::implementation> {
public:
    explicit implementation(json_rpc_dispatcher::handler answer)
        : jsonrpc::AbstractServer<implementation>(connector_holder::connector),
          answer_(std::move(answer)) {
        for (auto const* name : {"status", "explain_config"})
            bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                                jsonrpc::JSON_OBJECT, NULL),
                             &implementation::unused);
        for (auto const* name :
             {"explain_service", "explain_target", "explain_request"})
            bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                                jsonrpc::JSON_OBJECT, "id",
                                                jsonrpc::JSON_STRING, NULL),
                             &implementation::unused);
    }

    std::string dispatch(std::string const& request) {
        std::string response;
        connector_holder::connector.OnRequest(request, &response);
        return response;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure,
                          Json::Value const& input,
                          Json::Value& output) override {
        auto const id = input.isObject() && input.isMember("id")
                            ? input["id"].asString()
                            : std::string();
        Json::Reader reader;
        reader.parse(answer_(procedure.GetProcedureName(), id), output);
    }

    // All methods go through HandleMethodCall.
    void unused(Json::Value const&, Json::Value&) {}

private:
    json_rpc_dispatcher::handler answer_;
};

json_rpc_dispatcher::json_rpc_dispatcher(handler answer)
    : self_(new implementation(std::move(answer))) {}

json_rpc_dispatcher::~json_rpc_dispatcher() = default;

std::string json_rpc_dispatcher::dispatch(std::string const& request) {
    return self_->dispatch(request);
}

} // namespace adapters
} // namespace yuccabeam
