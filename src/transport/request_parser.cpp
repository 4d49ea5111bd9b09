#include "transport/request_parser.hpp"

#include "protocol/http_head.hpp"

#include <algorithm>
#include <cstring>

namespace acaciaslip::transport {

namespace {

/// Gives the library a text to read, and drops what it writes.
class text_stream final : public httplib::Stream {
public:
    explicit text_stream(const std::string& text) noexcept
        : m_text(text)
    {
    }

    [[nodiscard]] bool is_readable() const override { return true; }
    [[nodiscard]] bool is_writable() const override { return true; }
    ssize_t read(char* to, size_t size) override
    {
        const auto given = std::min(size, m_text.size() - m_read);
        std::memcpy(to, m_text.data() + m_read, given);
        m_read += given;
        return static_cast<ssize_t>(given);
    }
    ssize_t write(const char* /*from*/, size_t size) override { return static_cast<ssize_t>(size); }
    void get_remote_ip_and_port(std::string& /*ip*/, int& /*port*/) const override { }
    void get_local_ip_and_port(std::string& /*ip*/, int& /*port*/) const override { }
    [[nodiscard]] socket_t socket() const override { return 0; }

private:
    const std::string& m_text;
    std::size_t m_read = 0;
};

} // namespace

std::optional<httplib::Request> request_parser::parse(const std::string& checked)
{
    text_stream stream(checked);
    std::optional<httplib::Request> parsed;
    bool closed = false;
    // The library goes on to answer the request; without a header and without a route it only writes a 404, dropped.
    process_request(stream, false, closed, [&](httplib::Request& request) {
        parsed = std::move(request);
        request = {};
    });
    if (!parsed)
        return parsed;
    for (const auto* added : { "REMOTE_ADDR", "REMOTE_PORT", "LOCAL_ADDR", "LOCAL_PORT" })
        parsed->headers.erase(added);
    if (auto range = parsed->headers.extract(std::string(protocol::rangeAlias))) {
        range.key() = "Range";
        parsed->headers.insert(std::move(range));
    }
    return parsed;
}

} // namespace acaciaslip::transport
