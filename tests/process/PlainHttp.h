#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace briarhitch {

struct PlainRequest {
    std::string method { "GET" };
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body;
};

struct PlainAnswer {
    /** 0 if the connection failed before the header. */
    int status { 0 };
    std::map<std::string, std::string> headers;
    std::string body;
    /** False if the connection broke or went silent before the orderly end. */
    bool isWhole { false };
};

/** A blocking HTTP caller over a connection of its own. */
class PlainCall {
public:
    /** Sends the request and returns without waiting for the answer. */
    PlainCall(uint16_t port, const PlainRequest& request);
    ~PlainCall();
    PlainCall(PlainCall&&) noexcept;

    /** Reads until the body holds at least this many bytes; false if it ended before. */
    bool readAtLeast(size_t bodyBytes);
    /** Reads to the end; waits at most the bound for each part. */
    PlainAnswer finish(std::chrono::milliseconds bound = std::chrono::seconds(30));

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/** Sends the request and reads the whole answer. */
PlainAnswer callPlain(uint16_t port, const PlainRequest& request, std::chrono::milliseconds bound = std::chrono::seconds(30));
/** Sends raw bytes over a new connection; true if the other end then closes it within the bound. */
bool sendGarbage(uint16_t port, const std::string& bytes, std::chrono::milliseconds bound);

}
