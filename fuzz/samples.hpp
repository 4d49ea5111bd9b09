#pragma once

#include "state/gateway/published_fleet.hpp"

#include <string>
#include <string_view>

namespace acaciaslip::fuzz {

/// Valid inputs of readers.
[[nodiscard]] state::gateway::fleet_delta sampleDelta();
[[nodiscard]] std::string sampleHeartbeat();
[[nodiscard]] std::string sampleNodeMessage();

inline constexpr std::string_view sampleConfiguration
    = R"({"version":"0000000c","limits":{"max-header-bytes":16384,"idle-timeout":"15s"},"listeners":[{"host":"x.example",)"
      R"("rules":[{"name":"r","kind":"idempotent","latency-slo":"300ms","priority":1,"match":{"path-prefix":"/a/"},)"
      R"("action":{"split":[{"service":"a","weight":90},{"service":"b","weight":10}],"timeout":"1s","attempts":2}}]}],)"
      R"("clusters":[{"name":"a","health-path":"/health","max-conns":220,"cold-start":"3s","cold-per-s":3.4}]})";
inline constexpr std::string_view sampleTeams
    = R"({"version":"0000000d","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout":"3s",)"
      R"("idle-timeout":"15s"},"listeners":[{"host":"x.example","rules":[{"name":"r","kind":"idempotent",)"
      R"("latency-slo":"300ms","match":{"path-prefix":"/a/"},"action":{"service":"a","timeout":"1s","attempts":2},)"
      R"("anonymous":true}]}],"clusters":[{"name":"a","health-path":"/health","max-conns":220}],)"
      R"("tenants":[{"name":"t-1","api-keys":["k-1","k-2"],"priority":1,"rate-per-s":12.5,"burst":40},)"
      R"({"name":"t-2","api-keys":["k-3"]}]})";
inline constexpr std::string_view sampleServerEntry
    = R"({"address":"10.1.0.1:80","info":{"service":"a","version":"v1","zone":"z","max-concurrency":4},)"
      R"("status":{"state":"ready","seq-no":1,"cold-left":"0ms"},"born":1})";

} // namespace acaciaslip::fuzz
