#pragma once

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>
#include <vector>

namespace yuccabeam::adapters {

struct http_field {
    std::string name;
    std::string value;

    bool operator==(http_field const&) const = default;
};

using http_fields = std::vector<http_field>;

struct http_request {
    std::string method;
    std::string target; ///< path and query as received
    http_fields fields;
    std::string body;
};

struct http_reply {
    int status = 200;
    http_fields fields;
    std::string body;
};

/// Compares field names, which ignore case.
inline bool same_field_name(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) {
                          return std::tolower(x) == std::tolower(y);
                      });
}

/// Value of the first field with this name, or an empty text.
inline std::string_view field_value(http_fields const& fields,
                                    std::string_view name) {
    for (auto const& field : fields)
        if (same_field_name(field.name, name))
            return field.value;
    return {};
}

/// Reply with a JSON body.
inline http_reply json_reply(int status, std::string body) {
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace yuccabeam::adapters
