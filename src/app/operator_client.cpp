#include "app/operator_client.hpp"

#include "app/address.hpp"

#include <chrono>
#include <future>

#include <fmt/format.h>
#include <httplib.h>

namespace acaciaslip::app {

namespace {

constexpr std::chrono::seconds connectTimeout { 2 };
constexpr std::chrono::seconds answerTimeout { 5 };
constexpr int statusOk = 200;

absl::StatusOr<std::string> call(const std::string& address, const char* method, const std::string& path)
{
    const auto parsed = parseAddress(address);
    if (!parsed.ok())
        return parsed.status();
    httplib::Client client(parsed->host, parsed->port);
    client.set_tcp_nodelay(true);
    client.set_connection_timeout(connectTimeout);
    client.set_read_timeout(answerTimeout);
    const auto answer = std::string_view(method) == "POST" ? client.Post(path) : client.Get(path);
    if (!answer)
        return absl::UnavailableError(
            fmt::format("{} did not answer ({}); check that the node is running and that this is its operator address",
                address, httplib::to_string(answer.error())));
    if (answer->status != statusOk)
        return absl::UnavailableError(
            fmt::format("{} answered {} with status {}; check that this is the operator address of a node", address,
                path, answer->status));
    return answer->body;
}

} // namespace

absl::StatusOr<nlohmann::json> fetchDump(const std::string& address)
{
    const auto body = call(address, "GET", "/dump");
    if (!body.ok())
        return body.status();
    auto dump = nlohmann::json::parse(*body, nullptr, /*allow_exceptions=*/false);
    if (!dump.is_object() || !dump.contains("phase"))
        return absl::DataLossError(fmt::format(
            "{} answered with something other than a dump; check the address and the node's version", address));
    return dump;
}

absl::Status requestDrain(const std::string& address)
{
    return call(address, "POST", "/drain").status();
}

std::vector<node_answer> fetchDumps(const std::vector<std::string>& addresses)
{
    std::vector<std::future<absl::StatusOr<nlohmann::json>>> pending;
    pending.reserve(addresses.size());
    for (const auto& address : addresses)
        pending.push_back(std::async(std::launch::async, fetchDump, address));
    std::vector<node_answer> answers;
    answers.reserve(addresses.size());
    for (std::size_t index = 0; index < addresses.size(); ++index)
        answers.push_back({ addresses[index], pending[index].get() });
    return answers;
}

} // namespace acaciaslip::app
