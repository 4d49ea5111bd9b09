#pragma once

namespace acaciaslip::transport::loop {

/// Returns whether both sides have closed the connection, or it has been reset, or the socket is not open.
[[nodiscard]] bool isSocketClosed(int socket);

/// Returns whether a read would not block: bytes, the end of the stream or an error are pending.
[[nodiscard]] bool isInputPending(int socket);

/// Tells, at the end of a stream, whether the connection was reset before the peer ended its stream.
/// Takes the pending error from the socket.
/// \param isShutDown whether this side has ended its own stream
/// \return the libuv error code, or 0 if the peer ended its stream first
[[nodiscard]] int findReset(int socket, bool isShutDown);

} // namespace acaciaslip::transport::loop
