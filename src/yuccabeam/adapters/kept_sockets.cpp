#include "kept_sockets.hpp"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace yuccabeam::adapters {

void kept_sockets::attach(CURL* easy) {
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
}

void kept_sockets::add(std::string ends, curl_socket_t socket) {
    by_ends_.insert_or_assign(ends, socket);
    ends_.insert_or_assign(socket, std::move(ends));
}

bool kept_sockets::is_reusable(std::string const& ends) const {
    auto const found = by_ends_.find(ends);
    if (found == by_ends_.end())
        return false;
    char byte = 0;
    auto const size =
        recv(found->second, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void kept_sockets::remove(curl_socket_t socket) {
    auto const ends = ends_.extract(socket);
    if (ends.empty())
        return;
    auto const found = by_ends_.find(ends.mapped());
    if (found != by_ends_.end() && found->second == socket)
        by_ends_.erase(found);
}

int kept_sockets::on_close(void* self, curl_socket_t socket) {
    static_cast<kept_sockets*>(self)->remove(socket);
    return close(socket);
}

} // namespace yuccabeam::adapters
