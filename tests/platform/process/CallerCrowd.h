#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace briarhitch::platform {

/** What one connection of a crowd sends: a header, then `block` again and again until `bodyBytes` are sent; it stays open afterwards. */
struct CrowdRequest {
    std::string header;
    std::string block;
    size_t bodyBytes { 0 };
};

/** Connections that send without reading and stay open until the object is destroyed; one thread, without fibers. */
class CallerCrowd {
public:
    CallerCrowd(const std::string& host, uint16_t port, size_t connections, CrowdRequest request);
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd&) = delete;
    CallerCrowd& operator=(const CallerCrowd&) = delete;

    /** Sends until all connections have sent everything or were closed by the other end, or until the time is over. */
    void push(std::chrono::milliseconds time);

private:
    struct Caller {
        int socket { -1 };
        size_t sentBytes { 0 };
    };

    /** False if nothing more can be sent on this connection. */
    bool sendMore(Caller& caller) const;

    CrowdRequest request_;
    std::vector<Caller> callers_;
};

}
