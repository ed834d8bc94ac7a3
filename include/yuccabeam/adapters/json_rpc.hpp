#pragma once

#include <functional>
#include <memory>
#include <string>

// The sources behind this header are C++14, because libjsonrpccpp's headers
// don't compile at C++17; so the header uses C++14 only.
namespace yuccabeam {
namespace adapters {

/// Answers JSON-RPC 2.0 requests on queries of operators.
class json_rpc_dispatcher {
public:
    /// Gets a method and the parameter `id` (empty when the method has
    /// none), and returns the result as JSON text.
    using handler = std::function<std::string(std::string const& method,
                                              std::string const& id)>;

    explicit json_rpc_dispatcher(handler answer);
    ~json_rpc_dispatcher();
    json_rpc_dispatcher(json_rpc_dispatcher const&) = delete;
    json_rpc_dispatcher& operator=(json_rpc_dispatcher const&) = delete;

    /// Body of the answer to the body of a request.
    std::string dispatch(std::string const& request);

private:
    class implementation;
    std::unique_ptr<implementation> self_;
};

struct json_rpc_result {
    bool answered = false;
    std::string text; ///< result as JSON text, or the reason of the failure
};

/// Calls a method and blocks until it ends.
///
/// @param id  parameter `id`; empty for methods without parameters
json_rpc_result call_json_rpc(std::string const& url, std::string const& method,
                              std::string const& id, long timeout_ms);

} // namespace adapters
} // namespace yuccabeam
