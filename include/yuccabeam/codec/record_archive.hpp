#pragma once

#include "yuccabeam/codec/message.hpp"

#include <algorithm>
#include <array>
#include <concepts>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

/// For each record a function `describe(archive, record)` lists the fields in
/// wire order. The writer and the reader both use it.
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
    void write(std::string const& value) { out_.pack(value); }
    template <std::unsigned_integral T>
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
    explicit reader(msgpack::object const& object) : object_(&object) {}

    template <class... Fields>
    void record(Fields&... fields) {
        auto const* items = array(*object_);
        if (!items || items->size < sizeof...(Fields))
            return fail(message_fault::malformed);
        std::size_t i = 0;
        (read(items->ptr[i++], fields), ...);
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
        if (from.via.str.size > max_text_bytes)
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
    void read(msgpack::object const& from, membership::member_status& value) {
        std::uint8_t number = 0;
        read(from, number);
        if (number > static_cast<unsigned>(membership::member_status::left))
            return fail(message_fault::out_of_range);
        value = static_cast<membership::member_status>(number);
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
        reader inner(from);
        describe(inner, value);
        if (inner.failed())
            fail(inner.fault());
    }

    msgpack::object const* object_;
    message_fault fault_ = message_fault::malformed;
    bool failed_ = false;
};

} // namespace yuccabeam::codec
