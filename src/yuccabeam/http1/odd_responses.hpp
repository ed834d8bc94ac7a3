#pragma once

#include <string>
#include <vector>

namespace yuccabeam::http1 {

/// A response of a target in trouble that is no HTTP, for tests of every place
/// that reads responses. The peer closes after it; its framing alone would make
/// it complete.
struct odd_response {
    std::string guards;
    std::string text;
};

inline std::vector<odd_response> const odd_responses = [] {
    std::string const ok = "HTTP/1.1 200 OK\r\nId: r1\r\nProof: p\r\n";
    auto status = [](std::string const& line) {
        return line + "\r\nId: r1\r\nProof: p\r\nContent-Length: 2\r\n\r\nab";
    };
    auto head = [&](std::string const& field) {
        return ok + field + "\r\nContent-Length: 2\r\n\r\nab";
    };
    auto trailer = [&](std::string const& field) {
        return ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n" +
               field + "\r\n\r\n";
    };
    std::vector<odd_response> out{
        {"status 000", status("HTTP/1.1 000 OK")},
        {"status 099", status("HTTP/1.1 099 OK")},
        {"status 600", status("HTTP/1.1 600 OK")},
        {"status 999", status("HTTP/1.1 999 OK")},
        {"a status of two digits", status("HTTP/1.1 20 OK")},
        {"a status of four digits", status("HTTP/1.1 0200 OK")},
        {"a negative status", status("HTTP/1.1 -20 OK")},
        {"a folded line", head("Folded: a\r\n b")},
        {"a folded line with a tab", head("Folded: a\r\n\tb")},
        {"a CR that ends no line", head("Field: a\rOther: b")},
        {"a CR that ends the start line", "HTTP/1.1 200 OK\rId: r1\n"
                                          "Proof: p\r\nContent-Length: "
                                          "2\r\n\r\nab"},
        {"a blank before the first field", head(" Field: a")},
        {"a control byte in a value", head("Field: a\x01"
                                           "b")},
        {"a zero byte in a value", head(std::string("Field: a") + '\0' + "b")},
        {"DEL in a value", head("Field: a\x7f")},
        {"a start line that is cut, then the next response",
         status("HTTP/1.1 200 HTTP/1.1 500 Internal Server Error")},
        {"a field that is cut, then the next response",
         status("HTTP/1.1 503 Busy\r\nNot-Run: 1HTTP/1.1 200 OK")},
    };
    struct field {
        char const* guards;
        std::string line;
    };
    std::vector<field> const fields{
        {"a blank in a name", "Odd Name: a"},
        {"a blank in the name of the length", "Content Length: 9"},
        {"a blank before the colon", "Name : a"},
        {"a tab before the colon", "Name\t: a"},
        {"a control byte in a name", "Na\x01me: a"},
        {"DEL in a name", "Na\x7fme: a"},
        {"a byte beyond ASCII in a name", "Na\xc3me: a"},
        {"a separator in a name", "Na(me: a"},
        {"an empty name", ": a"},
        {"no colon", "Name"},
    };
    for (auto const& field : fields) {
        out.push_back(
            {std::string(field.guards) + ", in the head", head(field.line)});
        out.push_back({std::string(field.guards) + ", in a trailer",
                       trailer(field.line)});
    }
    return out;
}();

} // namespace yuccabeam::http1
