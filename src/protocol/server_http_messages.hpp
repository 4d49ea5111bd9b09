#pragma once

#include "coordination/gateway/events.hpp"
#include "protocol/http/message.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace acaciaslip::protocol {

/// Names of the non-standard headers that callers, nodes and servers exchange. The defaults are the product's own
/// interface.
struct header_names {
    std::string requestId = "Acaciaslip-Request"; ///< request id, echoed in the response
    std::string timeout = "Request-Timeout-Ms"; ///< sender's timeout, in milliseconds
    std::string expectedServer = "Acaciaslip-Expect-Server"; ///< id of the expected server; any other responds with 421
    std::string notExecuted = "Acaciaslip-Not-Run"; ///< set by a server that did not execute the request
    std::string load = "Acaciaslip-Load";
    std::string signature = "Acaciaslip-Signature"; ///< server's signature over its response
    std::string serverId = "Acaciaslip-Server";
    std::string requestLimit
        = "Acaciaslip-Limit"; ///< requests per second that the server takes from all hosts together
    std::string leaving = "Acaciaslip-Leaving"; ///< set by a server that is shutting down
    std::string coldRemaining = "Acaciaslip-Cold-Ms"; ///< remaining cold period of the server, in milliseconds
    std::string teamKey = "Acaciaslip-Key"; ///< caller's key; never sent to a server
    std::string teamName = "Acaciaslip-Team"; ///< name of the caller's team, as the gateway has found it
};

/// Header names and formats used in HTTP messages exchanged with servers.
struct server_http_format {
    header_names names;
    bool requireSignatureOnSuccess = false; ///< a 2xx response without a signature is not accepted
    /// Parses the value of the load header; returns std::nullopt when it is malformed.
    std::function<std::optional<state::gateway::load_report>(std::string_view)> parseLoad;
};

/// Whether a response belongs to the pending request: late responses to earlier requests have another id. A refusal as
/// not executed must carry the id, since a copy of an earlier one would otherwise prove too much.
[[nodiscard]] bool isRequestAnswer(const server_http_format& format, const http::message& answer, std::string_view id);

/// Whether a response belongs to a load probe: probes have no request id.
[[nodiscard]] bool isProbeAnswer(const server_http_format& format, const http::message& answer);

/// Reads the response to a load probe. The caller sets `id` and `server`.
/// \param server id of the server expected at the address
[[nodiscard]] coordination::gateway::probe_finished readProbeAnswer(
    const server_http_format& format, const http::message& answer, std::string_view server);

/// Reads the outcome of an attempt from the response. The caller sets `id`.
[[nodiscard]] coordination::gateway::attempt_finished readAttemptAnswer(
    const server_http_format& format, const http::message& answer);

/// Reads the key that a caller sends.
/// \return the key; an empty text, which is no team's key, if the header is empty or sent several times; std::nullopt
/// without the header
[[nodiscard]] std::optional<std::string> readTeamKey(const server_http_format& format, const http::message& request);

/// Writes the request of a load probe.
[[nodiscard]] std::string writeProbeRequest(std::string_view healthPath, std::string_view address);

/// Writes a caller's request to a server. Method, target, body and headers are forwarded unchanged, except for
/// connection-specific headers, the caller's key and headers that the gateway sets itself.
/// \param milliseconds timeout sent to the server
/// \param team name of the caller's team; empty: no team is named to the server
[[nodiscard]] std::string writeServerRequest(const server_http_format& format, const http::message& request,
    std::string_view server, std::int64_t milliseconds, std::string_view team);

/// Writes a server's response to the caller. Status, headers and body are forwarded unchanged.
///
/// No Content-Length is added when the server sent none: whether that body is complete is not known, so it must not be
/// declared complete. The caller's connection must then be closed after it; see `tcp_stream::resetWhenCutOff`.
/// \param isHeadRequest the caller's method was HEAD: no body follows, and the server's Content-Length is forwarded
[[nodiscard]] std::string writeCallerAnswer(const http::message& answer, bool isHeadRequest, bool keepAlive);

} // namespace acaciaslip::protocol
