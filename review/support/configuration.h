#pragma once

#include <string>

// Parts of the configurations that the operator publishes, in the format of the pages.

namespace Review {

inline const std::string Limits =
        R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
        R"("idle-timeout-ms":15000},"tenants":[{"name":"hule930","keys":["key-1"],"priority":1}])";

// A service of model workers with one model, `size` workers to a group.
inline std::string modelService(const std::string &name, const std::string &model, int size)
{
    return R"({"name":")" + name + R"(","health-path":"/health","max-connections":394,)"
           R"("protocol":"h1","tls":false,"engine":{"slots":26,"kv-tokens":1400000,)"
           R"("kv-bytes":35136,"link-mbps":400000.0,"stride":5,"models":[{"name":")" + model
           + R"(","size":)" + std::to_string(size)
           + R"(,"share":1.0,"pace":1.0,"load-s":16.0,"warm-s":1.6}],"step_ms":6.07,)"
             R"("per_seq_ms":0.241,"context_per_k":0.00488,"read_per_s":46000.0,)"
             R"("pairs_per_m":0.7,"chunk":2048,"report_lag_ms":200.0,"loads-per-s":4.0,)"
             R"("loads_at_once":6,"usual":{"prompt":1076,"answer":116},"keeps":1,"far_x":4.0,)"
             R"("form-ms":300.0}})";
}

inline std::string plainService(const std::string &name)
{
    return R"({"name":")" + name + R"(","health-path":"/health","max-connections":96,)"
           R"("protocol":"h1","tls":false})";
}

inline std::string streamRoute(const std::string &name, const std::string &prefix,
                               const std::string &service)
{
    return R"({"name":")" + name + R"(","host":"desk.example","path-prefix":")" + prefix
           + R"(","kind":"streaming","timeout-ms":8000,"target-latency-ms":500,"priority":1,)"
             R"("service":")" + service
           + R"(","attempts":2,"public":false,"sticky":true,"stream-resume":true,)"
             R"("gap-aim-ms":300})";
}

inline std::string plainRoute(const std::string &name, const std::string &prefix,
                              const std::string &service, const std::string &kind)
{
    return R"({"name":")" + name + R"(","host":"desk.example","path-prefix":")" + prefix
           + R"(","kind":")" + kind
           + R"(","timeout-ms":1500,"target-latency-ms":100,"priority":2,"service":")" + service
           + R"(","attempts":2,"public":false,"sticky":false,"stream-resume":false})";
}

inline std::string configuration(int version, const std::string &routes,
                                 const std::string &services)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
           + R"(],"services":[)" + services + "]," + Limits + "}";
}

} // namespace Review
