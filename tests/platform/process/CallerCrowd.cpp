#include "platform/process/CallerCrowd.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace briarhitch::platform {

namespace {

    constexpr int pollMs = 20;

}

CallerCrowd::CallerCrowd(const std::string& host, uint16_t port, size_t connections, CrowdRequest request)
    : request_(std::move(request))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    for (size_t i = 0; i < connections; ++i) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd >= 0 && (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 || errno == EINPROGRESS))
            callers_.push_back({ fd, 0 });
        else if (fd >= 0)
            close(fd);
    }
}

CallerCrowd::~CallerCrowd()
{
    for (const auto& caller : callers_)
        close(caller.socket);
}

bool CallerCrowd::sendMore(Caller& caller) const
{
    const auto& [header, block, bodyBytes] = request_;
    size_t total = header.size() + bodyBytes;
    while (caller.sentBytes < total) {
        bool isHeader = caller.sentBytes < header.size();
        const auto& part = isHeader ? header : block;
        size_t offset = isHeader ? caller.sentBytes : (caller.sentBytes - header.size()) % block.size();
        auto sent = send(caller.socket, part.data() + offset, std::min(part.size() - offset, total - caller.sentBytes), MSG_NOSIGNAL);
        if (sent < 0)
            return errno == EAGAIN || errno == ENOTCONN;
        caller.sentBytes += static_cast<size_t>(sent);
    }
    return false;
}

void CallerCrowd::push(std::chrono::milliseconds time)
{
    auto end = std::chrono::steady_clock::now() + time;
    std::vector<Caller*> sending;
    for (auto& caller : callers_)
        sending.push_back(&caller);
    while (!sending.empty() && std::chrono::steady_clock::now() < end) {
        std::vector<pollfd> polled;
        polled.reserve(sending.size());
        for (const auto* caller : sending)
            polled.push_back({ caller->socket, POLLOUT, 0 });
        poll(polled.data(), polled.size(), pollMs);
        std::vector<Caller*> left;
        for (size_t i = 0; i < sending.size(); ++i) {
            if ((polled[i].revents & POLLERR) == 0 && (polled[i].revents == 0 || sendMore(*sending[i])))
                left.push_back(sending[i]);
        }
        sending = std::move(left);
    }
}

}
