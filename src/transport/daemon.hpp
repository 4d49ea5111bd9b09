#pragma once

#include "state/node_settings.hpp"

#include <memory>

#include <absl/status/status.h>

namespace acaciaslip::transport {

/// A running node: the decision thread and every thread around it.
class daemon {
public:
    explicit daemon(const state::node_settings& settings);
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;
    ~daemon();

    /// Binds every port and starts every thread.
    [[nodiscard]] absl::Status start();

    /// Starts a planned stop.
    void drain();

    /// Waits until the planned stop is over, then ends every thread.
    void join();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace acaciaslip::transport
