#pragma once

#include "protocol/body_reader.hpp"
#include "protocol/http_head.hpp"
#include "transport/deadline_stream.hpp"

#include <functional>
#include <string>

#include <httplib.h>

namespace acaciaslip::transport {

/// What became of the answer to a request.
enum class answer_state {
    not_read, ///< nothing of the request was written, or its writing failed
    whole,
    ended, ///< the connection ended before the answer did
    malformed, ///< the end of the answer is in doubt, or it is too large
};

/// What httplib's client writes a request to and reads the answer from.
///
/// The request goes out in as few writes as can be. The answer is read whole and checked before the library sees its
/// head; the body never passes through the library.
class answer_stream final : public httplib::Stream {
public:
    /// \param connection that both run over
    /// \param mayWrite asked immediately before the first byte
    /// \param toHead whether the request's method is HEAD
    answer_stream(deadline_stream& connection, const std::function<bool()>& mayWrite, bool toHead,
        const protocol::message_limits& limits)
        : m_connection(connection)
        , m_mayWrite(mayWrite)
        , m_toHead(toHead)
        , m_limits(limits)
    {
    }

    /// Whether the permit to write had run out before the first byte.
    [[nodiscard]] bool isExpired() const noexcept { return m_expired; }
    [[nodiscard]] answer_state state() const noexcept { return m_state; }
    /// The head of a whole answer.
    [[nodiscard]] const protocol::answer_head& head() const noexcept { return m_head; }
    /// The body of a whole answer.
    [[nodiscard]] std::string& body() noexcept { return m_body.content(); }

    [[nodiscard]] bool is_readable() const override { return true; }
    [[nodiscard]] bool is_writable() const override { return true; }
    ssize_t read(char* to, size_t size) override;
    ssize_t write(const char* from, size_t size) override;
    void get_remote_ip_and_port(std::string& /*ip*/, int& /*port*/) const override { }
    void get_local_ip_and_port(std::string& /*ip*/, int& /*port*/) const override { }
    [[nodiscard]] socket_t socket() const override { return 0; }

private:
    [[nodiscard]] bool flush();
    [[nodiscard]] answer_state receive();
    [[nodiscard]] answer_state receiveHead();

    deadline_stream& m_connection;
    const std::function<bool()>& m_mayWrite;
    bool m_toHead;
    protocol::message_limits m_limits;
    bool m_expired = false;
    answer_state m_state = answer_state::not_read;
    std::string m_output; ///< of the request, not yet written
    protocol::answer_head m_head;
    std::size_t m_headRead = 0; ///< bytes of the head that the library has read
    protocol::body_reader m_body;
};

} // namespace acaciaslip::transport
