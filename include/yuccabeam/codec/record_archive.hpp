#pragma once

#include "yuccabeam/codec/message_fault.hpp"
#include "yuccabeam/values/ids.hpp"

#include <algorithm>
#include <array>
#include <concepts>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <span>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

/// Typed messages in MessagePack.
///
/// For each record a function `describe(archive, record)` lists the fields in
/// wire order. The writer and the reader both use it. An enumeration that is
/// read needs a function `last_value(enumeration)` in its namespace.
namespace yuccabeam::codec {

/// Maximum length of an id, address or name.
inline constexpr std::size_t max_text_bytes = 255;

template <class T, class Record>
concept record_of = std::same_as<std::remove_const_t<T>, Record>;

class writer {
public:
    explicit writer(msgpack::sbuffer& out) : out_(out) {}

    template <class... Fields>
    void record(Fields const&... fields) {
        out_.pack_array(sizeof...(Fields));
        (write(fields), ...);
    }

    /// Writes a record with a field that earlier versions don't know.
    template <class Added, class... Fields>
    void extended_record(Added const& added, Fields const&... fields) {
        record(fields..., added);
    }

    /// Writes a record that usually has its default value: an empty array for
    /// the default, otherwise an array of the record.
    template <class T>
    void optional_record(T const& value) {
        out_.pack_array(value == T{} ? 0 : 1);
        if (value != T{})
            write(value);
    }

private:
    void write(bool value) { out_.pack(value); }
    void write(double value) { out_.pack(value); }
    void write(std::string const& value) { out_.pack(value); }
    template <std::integral T>
    void write(T value) {
        out_.pack(value);
    }
    template <class T>
    requires std::is_enum_v<T>
    void write(T value) { out_.pack(static_cast<unsigned>(value)); }
    template <class Tag>
    void write(identifier<Tag> const& value) {
        out_.pack(value.value);
    }
    template <std::size_t N>
    void write(std::array<std::uint8_t, N> const& value) {
        out_.pack_bin(N);
        out_.pack_bin_body(reinterpret_cast<char const*>(value.data()), N);
    }
    template <class T>
    void write(std::vector<T> const& values) {
        out_.pack_array(static_cast<std::uint32_t>(values.size()));
        for (auto const& value : values)
            write(value);
    }
    template <class T>
    requires std::is_class_v<T>
    void write(T const& value) { describe(*this, value); }

    msgpack::packer<msgpack::sbuffer> out_;
};

class reader {
public:
    explicit reader(msgpack::object const& object,
                    std::size_t max_text = max_text_bytes)
        : object_(&object), max_text_(max_text) {}

    template <class... Fields>
    void record(Fields&... fields) {
        auto const* items = array(*object_);
        if (!items || items->size < sizeof...(Fields))
            return fail(message_fault::malformed);
        std::size_t i = 0;
        (read(items->ptr[i++], fields), ...);
    }

    /// Reads a record whose last field `added` is missing in messages of
    /// earlier versions.
    template <class Added, class... Fields>
    void extended_record(Added& added, Fields&... fields) {
        record(fields...);
        auto const* items = array(*object_);
        if (items && items->size > sizeof...(Fields))
            read(items->ptr[sizeof...(Fields)], added);
    }

    template <class T>
    void optional_record(T& value) {
        auto const* items = array(*object_);
        if (!items)
            return fail(message_fault::malformed);
        if (items->size > 0)
            read(items->ptr[0], value);
    }

    bool failed() const { return failed_; }
    message_fault fault() const { return fault_; } ///< the first one
    void fail(message_fault fault) {
        if (!std::exchange(failed_, true))
            fault_ = fault;
    }

private:
    static msgpack::object_array const* array(msgpack::object const& object) {
        return object.type == msgpack::type::ARRAY ? &object.via.array
                                                   : nullptr;
    }
    void read(msgpack::object const& from, bool& value) {
        if (from.type != msgpack::type::BOOLEAN)
            return fail(message_fault::malformed);
        value = from.via.boolean;
    }
    void read(msgpack::object const& from, std::string& value) {
        if (from.type != msgpack::type::STR)
            return fail(message_fault::malformed);
        if (from.via.str.size > max_text_)
            return fail(message_fault::out_of_range);
        value.assign(from.via.str.ptr, from.via.str.size);
    }
    template <std::unsigned_integral T>
    void read(msgpack::object const& from, T& value) {
        if (from.type != msgpack::type::POSITIVE_INTEGER)
            return fail(message_fault::malformed);
        if (from.via.u64 > std::numeric_limits<T>::max())
            return fail(message_fault::out_of_range);
        value = static_cast<T>(from.via.u64);
    }
    template <std::signed_integral T>
    void read(msgpack::object const& from, T& value) {
        if (from.type == msgpack::type::POSITIVE_INTEGER &&
            std::in_range<T>(from.via.u64))
            value = static_cast<T>(from.via.u64);
        else if (from.type == msgpack::type::NEGATIVE_INTEGER &&
                 std::in_range<T>(from.via.i64))
            value = static_cast<T>(from.via.i64);
        else
            fail(message_fault::malformed);
    }
    void read(msgpack::object const& from, double& value) {
        // The library writes a whole number as an integer.
        if (from.type == msgpack::type::FLOAT64)
            value = from.via.f64;
        else if (from.type == msgpack::type::POSITIVE_INTEGER)
            value = static_cast<double>(from.via.u64);
        else if (from.type == msgpack::type::NEGATIVE_INTEGER)
            value = static_cast<double>(from.via.i64);
        else
            fail(message_fault::malformed);
    }
    template <class T>
    requires std::is_enum_v<T>
    void read(msgpack::object const& from, T& value) {
        std::uint8_t number = 0;
        read(from, number);
        if (number > static_cast<unsigned>(last_value(value)))
            return fail(message_fault::out_of_range);
        value = static_cast<T>(number);
    }
    template <class Tag>
    void read(msgpack::object const& from, identifier<Tag>& value) {
        read(from, value.value);
    }
    template <std::size_t N>
    void read(msgpack::object const& from, std::array<std::uint8_t, N>& value) {
        if (from.type != msgpack::type::BIN || from.via.bin.size != N)
            return fail(message_fault::malformed);
        std::copy_n(from.via.bin.ptr, N, value.begin());
    }
    template <class T>
    void read(msgpack::object const& from, std::vector<T>& values) {
        auto const* items = array(from);
        if (!items)
            return fail(message_fault::malformed);
        values.clear();
        values.resize(items->size);
        for (std::size_t i = 0; i < values.size(); ++i)
            read(items->ptr[i], values[i]);
    }
    template <class T>
    requires std::is_class_v<T>
    void read(msgpack::object const& from, T& value) {
        reader inner(from, max_text_);
        describe(inner, value);
        if (inner.failed())
            fail(inner.fault());
    }

    msgpack::object const* object_;
    std::size_t max_text_;
    message_fault fault_ = message_fault::malformed;
    bool failed_ = false;
};

/// Reads a record of the type with index `kind` in the variant `Message`.
template <class Message, std::size_t I = 0>
std::variant<Message, message_fault>
read_alternative(std::size_t kind, msgpack::object const& body,
                 std::size_t max_text = max_text_bytes) {
    if constexpr (I == std::variant_size_v<Message>) {
        return message_fault::unknown_kind;
    } else {
        if (kind != I)
            return read_alternative<Message, I + 1>(kind, body, max_text);
        std::variant_alternative_t<I, Message> value;
        reader fields(body, max_text);
        describe(fields, value);
        if (fields.failed())
            return fields.fault();
        return Message(std::move(value));
    }
}

/// Maximum nesting of the arrays of a message: the depth of the deepest message
/// plus a margin for later versions.
inline constexpr std::size_t max_depth = 12;

/// Parses MessagePack. An array that claims more elements than `data` can hold
/// at `least_item_bytes` for each is malformed, so that no allocation exceeds
/// the input by more than a constant factor. Strings refer to `data`, which
/// must outlive the result. Returns an empty handle for malformed or trailing
/// bytes.
inline msgpack::object_handle unpack_limited(std::span<std::uint8_t const> data,
                                             std::size_t least_item_bytes = 1) {
    auto const max_items = data.size() / least_item_bytes;
    auto const refer = [](msgpack::type::object_type, std::size_t, void*) {
        return true;
    };
    try {
        std::size_t used = 0;
        auto handle = msgpack::unpack(
            reinterpret_cast<char const*>(data.data()), data.size(), used,
            refer, nullptr,
            msgpack::unpack_limit(max_items, max_items, data.size(),
                                  data.size(), data.size(), max_depth));
        if (used == data.size())
            return handle;
    } catch (msgpack::unpack_error const&) {
        // The library reports malformed bytes and exceeded limits this way.
    }
    return {};
}

} // namespace yuccabeam::codec
