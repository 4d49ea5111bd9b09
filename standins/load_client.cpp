#include "standins/load_client.hpp"

#include "standins/options.hpp"

#include <fmt/format.h>

namespace acaciaslip::standins {

namespace {

httplib::Client connect(const std::string& target)
{
    std::string ip;
    const int port = splitAddress(target, ip);
    return httplib::Client(ip, port);
}

} // namespace

load_client::load_client(const std::string& target)
    : m_client(connect(target))
{
    m_client.set_keep_alive(true);
    m_client.set_tcp_nodelay(true);
}

std::string load_client::send(const request_shape& shape, const std::string& key)
{
    httplib::Request request;
    request.method = shape.method;
    request.path = shape.path;
    if (shape.method != "GET")
        request.body = "{}";
    if (shape.keys)
        request.set_header("Idempotency-Key", key);
    const auto result = m_client.send(request);
    if (!result)
        return "no_answer";
    const auto verdict = result->get_header_value("Acaciaslip-Verdict");
    return fmt::format("{} {}", result->status, verdict.empty() ? "-" : verdict);
}

double quantile(const std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

} // namespace acaciaslip::standins
