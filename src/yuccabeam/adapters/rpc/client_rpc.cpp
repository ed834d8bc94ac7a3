#include "yuccabeam/adapters/json_rpc.hpp"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace yuccabeam {
namespace adapters {

json_rpc_result call_json_rpc(std::string const& url, std::string const& method,
                              std::string const& id, long timeout_ms) {
    json_rpc_result out;
    try {
        jsonrpc::HttpClient connector(url);
        connector.SetTimeout(timeout_ms);
        jsonrpc::Client client(connector);
        Json::Value parameters(Json::objectValue);
        if (!id.empty())
            parameters["id"] = id;
        Json::FastWriter writer;
        out.text = writer.write(client.CallMethod(method, parameters));
        out.answered = true;
    } catch (jsonrpc::JsonRpcException const& error) {
        out.text = error.what();
    }
    return out;
}

} // namespace adapters
} // namespace yuccabeam
