#include "coordination/gateway/key_check.hpp"

#include "coordination/gateway/store_news.hpp"

namespace acaciaslip::coordination::gateway {

namespace {

std::string describeAge(state::duration age)
{
    return std::to_string(static_cast<std::int64_t>(state::toMilliseconds(age)));
}

std::string_view describeKey(const request_arrived& arrived) noexcept
{
    if (!arrived.teamKey)
        return "missing";
    return arrived.teamKey->empty() ? "empty_or_repeated" : "sent";
}

} // namespace

key_check checkKey(const gateway_node& self, const state::gateway::route& route, const request_arrived& arrived,
    state::time_point now) noexcept
{
    if (self.config->teams.empty() || route.anonymous)
        return {};
    // Before the key itself: a key that is unknown here may just have been added.
    if (areKeysOutdated(self, now))
        return { nullptr, state::refusal_reason::keys_outdated };
    const auto* team = arrived.teamKey ? findTeam(self.teamKeys, *arrived.teamKey) : nullptr;
    if (team == nullptr)
        return { nullptr, state::refusal_reason::unknown_key };
    return { team, std::nullopt };
}

std::vector<std::pair<std::string, std::string>> describeKeyRefusal(
    const gateway_node& self, const request_arrived& arrived, state::time_point now)
{
    std::vector<std::pair<std::string, std::string>> fields { { "key", std::string(describeKey(arrived)) },
        { "config_age_ms", describeAge(now - self.configAppliedAt) },
        { "teams", std::to_string(self.config->teams.size()) } };
    if (self.settings.limits.strictRevoke)
        fields.emplace_back("store_news_ms", self.storeNewsAt ? describeAge(now - *self.storeNewsAt) : "none");
    return fields;
}

} // namespace acaciaslip::coordination::gateway
