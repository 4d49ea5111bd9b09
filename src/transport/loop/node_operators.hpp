#pragma once

#include "coordination/memory_budget.hpp"
#include "coordination/node.hpp"
#include "transport/loop/http_service.hpp"
#include "transport/loop/process_loop.hpp"

#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include <absl/status/status.h>

namespace acaciaslip::transport::loop {

/// HTTP service for operators of a node: /health, /dump, /metrics and /drain.
class node_operators {
public:
    /// \param memory for requests and answers in hand
    /// \param drain starts a graceful shutdown
    node_operators(process_loop& process, const coordination::node& node,
        std::shared_ptr<const coordination::memory_budget> memory, std::function<void()> drain);

    ~node_operators();
    node_operators(const node_operators&) = delete;
    node_operators& operator=(const node_operators&) = delete;

    [[nodiscard]] absl::Status listen(const std::string& address) { return m_service.listen(address); }
    void close();

private:
    struct snapshot_copy;

    void answer(const protocol::http::message& request, const http_service::reply& reply);
    void answerHealth(const http_service::reply& reply) const;
    void copyNextServers(const std::shared_ptr<snapshot_copy>& copy);

    process_loop& m_process;
    const coordination::node& m_node;
    std::shared_ptr<const coordination::memory_budget> m_memory;
    std::function<void()> m_drain;
    http_service m_service;
    std::unordered_set<std::shared_ptr<snapshot_copy>> m_copies; ///< still being copied
};

} // namespace acaciaslip::transport::loop
