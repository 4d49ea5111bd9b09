#pragma once

#include "coordination/gateway/events.hpp"
#include "protocol/http/message.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaslip::protocol {

/// What the headers are called that callers, nodes and servers exchange beside the standard ones. The defaults are the
/// product's own interface.
struct header_names {
    std::string requestId = "Acaciaslip-Request"; ///< echoed in the answer
    std::string timeout = "Request-Timeout-Ms"; ///< milliseconds that the sender waits
    std::string expectedServer = "Acaciaslip-Expect-Server"; ///< any other server answers 421
    std::string notRun = "Acaciaslip-Not-Run"; ///< the server proves that the request did not run
    std::string load = "Acaciaslip-Load";
    std::string signature = "Acaciaslip-Signature"; ///< of the server, over its answer
    std::string serverId = "Acaciaslip-Server";
    std::string coldFor = "Acaciaslip-Cold-Ms"; ///< milliseconds for which the server stays cold
};

/// How servers are spoken to.
struct server_dialect {
    header_names names;
    bool successNeedsSignature = false; ///< a 2xx answer without a signature is not the server's
    /// Reads the value of the load header; nothing when it cannot be read.
    std::function<std::optional<state::gateway::load_report>(std::string_view)> readLoad;
};

/// Whether an answer is the one that a request waits for: late answers to earlier requests bear another id.
[[nodiscard]] bool answersRequest(const server_dialect& dialect, const http::message& answer, std::string_view id);

/// Whether an answer is one to a question about load: such a question has no id.
[[nodiscard]] bool answersQuestion(const server_dialect& dialect, const http::message& answer);

/// What an answer to a question about load says. `id` and `server` are left to the caller.
/// \param server that is expected at the address
[[nodiscard]] coordination::gateway::ask_finished readAskAnswer(
    const server_dialect& dialect, const http::message& answer, std::string_view server);

/// What an answer to a request says of the attempt. `id` is left to the caller.
[[nodiscard]] coordination::gateway::attempt_finished readAttemptAnswer(
    const server_dialect& dialect, const http::message& answer);

/// Writes a question about load.
[[nodiscard]] std::string writeQuestion(std::string_view healthPath, std::string_view address);

/// Writes a caller's request for a server: method, target, body and headers as they came, but for those of one
/// connection and those that the system sets itself.
/// \param milliseconds that the server is told to have
[[nodiscard]] std::string writeServerRequest(
    const server_dialect& dialect, const http::message& request, std::string_view server, std::int64_t milliseconds);

/// Writes a server's answer for the caller: status, headers and body as they came.
///
/// An answer whose length the server did not tell is not given one: if it was cut short, it must not look complete.
/// \param toHead the caller's method was HEAD: no body follows, and the length is told as the server told it
[[nodiscard]] std::string writeCallerAnswer(const http::message& answer, bool toHead, bool keepAlive);

} // namespace acaciaslip::protocol
