#include "yuccabeam/config/tree.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <span>
#include <utility>

namespace yuccabeam::config {

namespace {

constexpr std::size_t hash_digits = 64;

/// Bytes that a leaf adds to a key and its item: quotes, colon, comma.
constexpr std::size_t entry_overhead = 4;

struct entry {
    std::string place; ///< hash of the key
    std::string key;
    nlohmann::json value;
    std::size_t bytes = 0;
};

using entries = std::span<entry>;

std::vector<entry> placed_entries(item_map const& items) {
    std::vector<entry> out;
    out.reserve(items.size());
    for (auto const& [key, value] : items) {
        auto json = json_of(value);
        auto const bytes = key.size() + json.dump().size() + entry_overhead;
        out.push_back({hash_of(std::string_view(key)).value, key,
                       std::move(json), bytes});
    }
    std::sort(out.begin(), out.end(),
              [](entry const& a, entry const& b) { return a.place < b.place; });
    return out;
}

chunk_hash store(nlohmann::json const& value, chunk_map& chunks) {
    auto text = value.dump();
    auto hash = hash_of(std::string_view(text));
    chunks.emplace(hash, std::move(text));
    return hash;
}

chunk_hash build_leaf(entries part, chunk_map& chunks) {
    auto items = nlohmann::json::object();
    for (auto& entry : part)
        items[entry.key] = std::move(entry.value);
    return store({{"leaf", std::move(items)}}, chunks);
}

// The depth is bounded by the number of digits in a hash.
// NOLINTNEXTLINE(misc-no-recursion)
chunk_hash build_node(entries part, std::size_t depth, chunk_map& chunks) {
    std::size_t bytes = 0;
    for (auto const& entry : part)
        bytes += entry.bytes;
    if (bytes <= leaf_bytes || part.size() <= 1 || depth == hash_digits)
        return build_leaf(part, chunks);
    auto children = nlohmann::json::object();
    for (std::size_t begin = 0; begin < part.size();) {
        auto const digit = part[begin].place[depth];
        std::size_t end = begin;
        while (end < part.size() && part[end].place[depth] == digit)
            ++end;
        children[std::string(1, digit)] =
            build_node(part.subspan(begin, end - begin), depth + 1, chunks)
                .value;
        begin = end;
    }
    return store({{"inner", std::move(children)}}, chunks);
}

bool is_hash(std::string const& text) {
    return text.size() == hash_digits &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

chunk_hash checked_hash(json_reader& reader, std::string_view name,
                        std::string text) {
    if (!is_hash(text))
        reader.add_fault(name, "a hash of 64 hexadecimal digits", text);
    return {std::move(text)};
}

chunk_hash read_hash(json_reader& reader, std::string_view name) {
    return checked_hash(reader, name, reader.string(name));
}

revision read_revision(json_reader& reader) {
    return static_cast<revision>(reader.integer(
        "revision", {1, std::numeric_limits<std::int64_t>::max()}));
}

manifest read_manifest(json_reader& reader) {
    manifest out;
    out.revision = read_revision(reader);
    if (reader.has("previous"))
        out.previous = read_hash(reader, "previous");
    out.root = read_hash(reader, "root");
    out.edit_id = reader.string("edit_id");
    out.author = reader.string_or("author", "");
    return out;
}

inner read_inner(nlohmann::json const& children,
                 std::vector<json_fault>& faults) {
    inner out;
    json_reader reader(children, "/inner", faults);
    if (children.is_object())
        for (auto const& [digit, hash] : children.items())
            out.children.push_back(read_hash(reader, digit));
    return out;
}

leaf read_leaf(nlohmann::json const& items, std::vector<json_fault>& faults) {
    leaf out;
    json_reader reader(items, "/leaf", faults);
    if (!items.is_object())
        return out;
    for (auto const& [key, value] : items.items())
        if (auto parsed = parse_item(key, value, "/leaf/" + key, faults))
            out.items.push_back(std::move(*parsed));
    return out;
}

parsed_chunk read_chunk(nlohmann::json const& document,
                        std::vector<json_fault>& faults) {
    if (document.is_object() && document.size() == 1) {
        auto const& kind = document.begin().key();
        auto const& content = document.front();
        if (kind == "leaf")
            return read_leaf(content, faults);
        if (kind == "inner")
            return read_inner(content, faults);
        if (kind == "manifest") {
            json_reader reader(content, "/manifest", faults);
            auto out = read_manifest(reader);
            reader.finish();
            return out;
        }
    }
    faults.push_back(
        {"", "a leaf, an inner node or a manifest", brief(document)});
    return leaf{};
}

template <class Value, class Read>
result<Value> read_text(std::string_view text, std::string_view what,
                        Read read) {
    std::vector<json_fault> faults;
    auto const document = parse_json(text, faults);
    if (document) {
        Value value = read(*document, faults);
        if (faults.empty())
            return value;
    }
    return make_fault(fault_code::invalid_input,
                      std::string(what) +
                          " can't be read: " + describe(faults));
}

} // namespace

tree build_tree(item_map const& items) {
    tree out;
    auto placed = placed_entries(items);
    out.root = build_node(placed, 0, out.chunks);
    return out;
}

std::string text_of(manifest const& value) {
    nlohmann::json out = {{"revision", value.revision},
                          {"root", value.root.value},
                          {"edit_id", value.edit_id},
                          {"author", value.author}};
    if (!value.previous.empty())
        out["previous"] = value.previous.value;
    return nlohmann::json{{"manifest", std::move(out)}}.dump();
}

std::string text_of(head const& value) {
    nlohmann::json const out = {{"revision", value.revision},
                                {"manifest", value.manifest.value}};
    return out.dump();
}

result<parsed_chunk> parse_chunk(std::string_view text) {
    return read_text<parsed_chunk>(text, "the chunk", read_chunk);
}

result<head> parse_head(std::string_view text) {
    return read_text<head>(
        text, "the head",
        [](nlohmann::json const& document, std::vector<json_fault>& faults) {
            json_reader reader(document, "", faults);
            head out;
            out.revision = read_revision(reader);
            out.manifest = read_hash(reader, "manifest");
            reader.finish();
            return out;
        });
}

} // namespace yuccabeam::config
