#pragma once

namespace acaciaslip::transport::loop {

/// Returns whether both sides have closed the connection, or it has been reset, or the socket is not open.
[[nodiscard]] bool isSocketClosed(int socket);

/// Returns whether a read would not block: bytes, the end of the stream or an error are pending.
[[nodiscard]] bool isInputPending(int socket);

/// Finds out, at the end of a stream, whether the peer had reset the connection instead of shutting down its side.
/// Clears the pending error of the socket.
/// \param isShutDown whether this side has ended its own stream
/// \return the libuv error code, or 0 if the peer had shut down its side
[[nodiscard]] int findReset(int socket, bool isShutDown);

} // namespace acaciaslip::transport::loop
