#pragma once

#include "yuccabeam/adapters/store_client.hpp"
#include "yuccabeam/daemon/key_claims.hpp"

namespace yuccabeam::daemon {

/// Claims in the platform's key-value service.
class store_claims final : public claim_store {
public:
    explicit store_claims(std::string const& address) : store_(address) {}

    retry::claim_event create(std::string const& key, std::string const& value,
                              duration lease) override;
    retry::claim_event read(std::string const& key) override;
    retry::claim_event remove(std::string const& key,
                              std::string const& value) override;

private:
    adapters::store_client store_;
};

} // namespace yuccabeam::daemon
