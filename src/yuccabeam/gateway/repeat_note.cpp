#include "yuccabeam/gateway/repeat_note.hpp"

#include <nlohmann/json.hpp>

namespace yuccabeam::gateway {

std::string write_repeat_note(placement::repeat_counts const& counts) {
    return nlohmann::json{{"requests", counts.requests},
                          {"repeats", counts.repeats}}
        .dump();
}

std::optional<placement::repeat_counts>
read_repeat_note(std::string const& text) {
    try {
        auto const in = nlohmann::json::parse(text);
        placement::repeat_counts const out{in.at("requests").get<double>(),
                                           in.at("repeats").get<double>()};
        if (out.requests < 0 || out.repeats < 0)
            return std::nullopt;
        return out;
    } catch (nlohmann::json::exception const&) {
        return std::nullopt;
    }
}

} // namespace yuccabeam::gateway
