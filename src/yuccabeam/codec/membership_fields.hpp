#pragma once

#include "yuccabeam/codec/record_archive.hpp"
#include "yuccabeam/membership/messages.hpp"

namespace yuccabeam::membership {

constexpr member_status last_value(member_status) {
    return member_status::left;
}

} // namespace yuccabeam::membership

namespace yuccabeam::codec {

/// Member info that only `alive` updates carry. In other updates it is empty
/// and takes one byte.
template <class Info>
struct if_present {
    Info* info;
};
template <class Archive, class Info>
void describe(Archive& archive, if_present<Info> const& value) {
    archive.optional_record(*value.info);
}

template <class Archive, record_of<membership::config_digest> T>
void describe(Archive& archive, T& value) {
    archive.record(value.revision, value.manifest);
}

template <class Archive, record_of<membership::member_info> T>
void describe(Archive& archive, T& value) {
    archive.record(value.failure_domain, value.udp_address, value.http_address,
                   value.ready);
}

template <class Archive, record_of<membership::member> T>
void describe(Archive& archive, T& value) {
    if_present<std::remove_reference_t<decltype((value.info))>> info{
        &value.info};
    archive.record(value.id, value.incarnation, value.counter, value.status,
                   info, value.reporter);
}

template <class Archive, record_of<membership::heartbeat> T>
void describe(Archive& archive, T& value) {
    archive.record(value.self, value.config, value.updates,
                   value.leaving_targets);
}

template <class Archive, record_of<membership::ping> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sequence, value.beat);
}

template <class Archive, record_of<membership::ping_req> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sequence, value.subject, value.subject_address);
}

template <class Archive, record_of<membership::ack> T>
void describe(Archive& archive, T& value) {
    archive.record(value.sequence, value.subject, value.reached, value.beat);
}

template <class Archive, record_of<membership::config_announce> T>
void describe(Archive& archive, T& value) {
    archive.record(value.config, value.http_address);
}

} // namespace yuccabeam::codec
