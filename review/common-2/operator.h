#pragma once

#include "engines.h"

// The operator's configuration of the cases, with the figures of the gursha-ops sheet where the case needs
// no others.

namespace Review {

inline const char *const TenantKey = "n2ctnfzs989anu6wsjnb";

inline std::string engineService(std::size_t slots)
{
    return R"({"name":"kitchen-llm","health-path":"/health","max-connections":394,"protocol":"h1","tls":false,)"
           R"("engine":{"slots":)"
           + std::to_string(slots)
           + R"(,"kv-tokens":1400000,"kv-bytes":35136,"link-mbps":400000.0,"stride":5,)"
             R"("models":[{"name":"daka51","size":2,"share":1.0,"pace":1.0,"load-s":16.0,"warm-s":1.6}],)"
             R"("step_ms":6.07,"per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,)"
             R"("pairs_per_m":0.7,"chunk":2048,"report_lag_ms":200.0,"loads-per-s":4.0,"loads_at_once":6,)"
             R"("usual":{"prompt":1076,"answer":116},"keeps":1,"far_x":4.0,"form-ms":300.0}})";
}

inline std::string plainService()
{
    return R"({"name":"tray-api","health-path":"/health","max-connections":96,"protocol":"h1","tls":false})";
}

inline std::string streamRoute(int timeoutMs, int targetMs)
{
    return R"({"name":"shift-summary","host":"ficu95.example","path-prefix":"/pufi791/","kind":"streaming",)"
           R"("timeout-ms":)"
           + std::to_string(timeoutMs) + R"(,"target-latency-ms":)" + std::to_string(targetMs)
           + R"(,"priority":1,"service":"kitchen-llm","attempts":2,"public":false,"sticky":true,)"
             R"("stream-resume":true,"gap-aim-ms":300})";
}

inline std::string bookingRoute()
{
    return R"({"name":"pickup-book","host":"ficu95.example","path-prefix":"/puxa403/","kind":"non_idempotent",)"
           R"("timeout-ms":800,"target-latency-ms":100,"priority":2,"service":"tray-api","attempts":1,)"
           R"("public":false})";
}

inline std::string configuration(int version, const std::string &routes, const std::string &services)
{
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes + "],\"services\":[" + services
           + R"(],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
             R"("idle-timeout-ms":15000},"tenants":[{"name":"hule930","keys":["n2ctnfzs989anu6wsjnb"],)"
             R"("priority":1}]})";
}

// Sends a configuration until it is acknowledged, as the operator does.
inline void publish(const std::vector<std::string> &controls, const std::string &body, const char *what)
{
    for (std::size_t attempt = 0; attempt < 60; ++attempt) {
        const auto answer = call(controls[attempt % controls.size()], "POST",
                                 "/trefoilrun/configuration/replace", body);
        if (answer && answer->status() == 200) {
            record.line("operator: acknowledged: %s", what);
            return;
        }
        if (answer && answer->status() == 400)
            cannotRun("a configuration was refused: " + answer->body);
        sleepMs(200);
    }
    cannotRun("no configuration was acknowledged");
}

inline void waitForGroups(Engines &engines, std::size_t count)
{
    for (int wait = 0; countOpenHeads(engines) < count && wait < 300; ++wait)
        sleepMs(100);
    if (countOpenHeads(engines) < count)
        cannotRun(std::to_string(countOpenHeads(engines)) + " groups serve");
    record.line("%zu groups serve", count);
    sleepMs(1000);
}

inline std::string streamRequest(const std::string &id, int limitMs, int promptTokens, int outputTokens)
{
    return "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Trefoilrun-Attempt-Id: " + id
           + "\r\nX-Trefoilrun-Model-Name: daka51\r\nX-Trefoilrun-Token-Count: " + std::to_string(promptTokens)
           + "," + std::to_string(outputTokens) + "\r\nX-Trefoilrun-Prompt-Prefix: 5c1e07a2:40,"
           + std::to_string(std::hash<std::string>{}(id) % 900000 + 100000) + ":"
           + std::to_string(promptTokens - 40) + "\r\nX-Trefoilrun-Request-Deadline: " + std::to_string(limitMs)
           + "\r\nAuthorization: Bearer " + TenantKey + "\r\nContent-Length: 2\r\n\r\n{}";
}

inline void recordStream(const std::string &id, const StreamResult &result)
{
    record.line("consumer: %s, sent at %.3f -> status %d, %d events, %s%s", id.c_str(),
                static_cast<double>(result.sentAt) / 1000, result.status, result.events,
                result.isWhole ? "whole" : "not whole", result.isClosed ? ", connection closed" : "");
}

inline bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

} // namespace Review
