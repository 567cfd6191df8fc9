#include "clients.h"

#include <atomic>
#include <random>

namespace Review {

std::string drawRequestId()
{
    static const unsigned prefix = std::random_device{}();
    static std::atomic<unsigned> next{1};
    char id[32];
    std::snprintf(id, sizeof id, "%08x%08x", prefix, next++);
    return id;
}

ConsumerResult consume(World &world, const std::string &entry, const ConsumerRequest &request)
{
    ConsumerResult result;
    result.sentAt = world.seconds();
    const TimePoint deadline = Clock::now() + Milliseconds(request.timeLimitMs);
    Connection connection = Connection::open(entry, Milliseconds(1000));
    std::string text = "POST " + request.path + " HTTP/1.1\r\nHost: desk.example\r\n"
                       + "X-Trefoilrun-Attempt-Id: " + request.id
                       + "\r\nX-Trefoilrun-Request-Deadline: "
                       + std::to_string(request.timeLimitMs) + "\r\nAuthorization: Bearer "
                       + request.key + "\r\n";
    if (!request.model.empty())
        text += "X-Trefoilrun-Model-Name: " + request.model
                + "\r\nX-Trefoilrun-Token-Count: 700,135\r\nX-Trefoilrun-Prompt-Prefix: "
                  "5c1e07a2:40,"
                + request.id.substr(8) + ":660\r\n";
    text += "Content-Length: 5\r\n\r\nhello";
    Message response;
    if (connection.isOpen() && connection.write(text)
        && connection.readHead(response, deadline)) {
        result.status = response.status();
        if (response.field("Transfer-Encoding") == "chunked") {
            std::string chunk;
            bool isLast = false;
            while (!isLast && connection.readChunk(chunk, isLast, deadline)) {
                result.body += chunk;
                for (std::size_t at = 0; (at = chunk.find("\n\n", at)) != std::string::npos; at += 2)
                    ++result.events;
            }
            result.isComplete = isLast;
        } else {
            result.isComplete = connection.readBody(response, deadline);
            result.body = response.body;
        }
    }
    result.endedAt = world.seconds();
    result.hasTimedOut = !result.isComplete && Clock::now() >= deadline;
    result.isClosedByEntry = !result.isComplete && !result.hasTimedOut;
    return result;
}

std::string toText(const ConsumerRequest &request, const ConsumerResult &result)
{
    char text[256];
    std::snprintf(text, sizeof text,
                  "request %s %s: sent %.3f, ended %.3f, status %d, %d events, %s",
                  request.id.c_str(), request.path.c_str(), result.sentAt, result.endedAt,
                  result.status, result.events,
                  result.isComplete        ? "complete"
                  : result.isClosedByEntry ? "connection closed before the end"
                                           : "time limit passed");
    return text;
}

} // namespace Review
