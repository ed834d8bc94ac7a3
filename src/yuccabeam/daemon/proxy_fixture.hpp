#pragma once

#include "scripted_target.hpp"
#include "yuccabeam/daemon/proxy.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace yuccabeam::daemon {

using tcp = asio::ip::tcp;

/// One daemon's request path in front of scripted targets, for tests.
class fixture {
public:
    explicit fixture(std::vector<std::string> const& addresses,
                     std::string const& name = "d1", proxy_options options = {})
        : proxy_(test_options(name, std::move(options)), metrics_),
          server_({.address = "127.0.0.1:0", .max_body_bytes = 1024},
                  [this](auto request, auto responder) {
                      proxy_.handle(std::move(request), std::move(responder));
                  }) {
        auto configuration = std::make_shared<snapshot>();
        configuration->revision = 1;
        auto& reg = configuration->asset_register;
        reg.failure_domains = {{{"a"}}};
        reg.services = {{{"stock"}, 0}};
        for (std::size_t i = 0; i < addresses.size(); ++i)
            reg.targets.push_back(
                {{"t" + std::to_string(i)}, {"stock"}, {"a"}, addresses[i]});
        configuration->rules.routes = {{{"all"}, "", "/", {"stock"}}};
        proxy_.apply(configuration);
        REQUIRE(server_.start());
    }

    // Takes requests from other daemons, as the peer port does.
    std::string serve_peers() {
        peers_ = std::make_unique<adapters::http_server>(
            adapters::http_server_options{.address = "127.0.0.1:0"},
            [this](auto request, auto responder) {
                proxy_.handle_relayed(std::move(request), std::move(responder));
            });
        REQUIRE(peers_->start());
        return "127.0.0.1:" + std::to_string(peers_->port());
    }

    std::string ticket() {
        auto const answer =
            ask("POST /.yuccabeam/tickets HTTP/1.1\r\nHost: h\r\n"
                "Connection: close\r\nContent-Length: 0\r\n\r\n");
        auto const body = answer.substr(answer.find("\r\n\r\n") + 4);
        return nlohmann::json::parse(body).at("ticket");
    }

    tcp::socket connect() {
        tcp::socket socket(context_);
        socket.connect({asio::ip::make_address("127.0.0.1"), server_.port()});
        return socket;
    }

    // Sends one request and reads until the daemon closes the connection.
    std::string ask(std::string const& request) {
        auto socket = connect();
        asio::error_code error;
        asio::write(socket, asio::buffer(request), error);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

private:
    static proxy_options test_options(std::string const& name,
                                      proxy_options out) {
        out.self = {{name}, 1, {"a"}};
        out.shared_key = "0123456789abcdef";
        if (!out.find_daemon)
            out.find_daemon = [](auto const&) { return std::nullopt; };
        return out;
    }

    asio::io_context context_;
    adapters::metrics metrics_;
    proxy proxy_;
    adapters::http_server server_;
    std::unique_ptr<adapters::http_server> peers_;
};

inline std::string get(std::string const& path,
                       std::string const& fields = "") {
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
           fields + "\r\n";
}

inline std::string post(std::string const& path, std::string const& key = "") {
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
           (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") +
           "Content-Length: 2\r\n\r\nhi";
}

inline int status_of(std::string const& answer) {
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

inline bool has(std::string const& text, std::string const& part) {
    return text.find(part) != std::string::npos;
}

inline std::string ok(std::string const& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace yuccabeam::daemon
