#pragma once

#include "yuccabeam/standins/http_reader.hpp"
#include "yuccabeam/standins/target_content.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace yuccabeam::standins {

/// How the connection goes on after an answer.
enum class ending { keep, close, reset };

/// One answer of a target and how much of its body is written.
struct answer {
    int status = 200;
    std::string extra_headers;
    std::string text;
    std::optional<content> generated; ///< instead of `text`
    byte_range range;                 ///< of `generated`
    bool chunked = false;
    bool without_body = false;
    ending end = ending::keep;
    std::optional<std::uint64_t> cut_after; ///< body bytes before the end
    std::uint64_t sent = 0;                 ///< body bytes

    std::uint64_t size() const {
        return generated ? range.end - range.begin : text.size();
    }
    /// True when no further block follows.
    bool complete() const { return sent == body_end(); }
    std::string head(bool drain, std::string_view echo) const;
    /// Adds the next block of the body, at most 64 KiB, so that memory stays
    /// at one block however slowly the client reads. Returns its body bytes.
    std::size_t append_block(std::string& output);

private:
    std::uint64_t body_end() const;
};

answer text_only(int status, std::string text);
/// 503 with the promise that the request did not run.
answer not_run(std::string text);
/// The whole body or the part that the request asks for.
answer generated_answer(content const& what, http_message const& request);

} // namespace yuccabeam::standins
