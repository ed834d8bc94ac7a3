#include "yuccabeam/config/publish.hpp"

namespace yuccabeam::config {

prepared prepare(stored_configuration const& current, item_map const& items,
                 edit const& edit) {
    auto tree = build_tree(items);
    prepared out;
    out.chunks = std::move(tree.chunks);
    std::erase_if(out.chunks, [&](auto const& chunk) {
        return current.chunks.contains(chunk.first);
    });
    auto const text = text_of(manifest{current.head.value.revision + 1,
                                       current.head.value.manifest, tree.root,
                                       edit.id, edit.author});
    auto const hash = hash_of(std::string_view(text));
    out.chunks.emplace(hash, text);
    out.next = {current.head.value.revision + 1, hash};
    return out;
}

} // namespace yuccabeam::config
