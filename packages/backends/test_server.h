/*
 * An HTTP server for tests on a free loopback port.  It reads one request on
 * each connection, runs the test's function on a thread of its own and closes
 * the connection.
 *
 *     struct test_server server([](int fd, const std::string &request) {
 *         test_write(fd, "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
 *     });
 */
#ifndef CARDAMOM_TEST_SERVER_H
#define CARDAMOM_TEST_SERVER_H

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/* Sends the text.  Returns false if the other side has closed. */
static inline bool
test_write(int fd, const std::string &text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        ssize_t n =
            send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += (size_t)n;
    }
    return true;
}

/* Reads a request: the head, and as many bytes of body as its content-length
 * gives. */
static inline std::string
test_read_request(int fd)
{
    std::string text;
    char buffer[65536];
    size_t wanted = std::string::npos;
    while (text.size() < wanted) {
        ssize_t n = recv(fd, buffer, sizeof(buffer), 0);
        if (n <= 0) {
            break;
        }
        text.append(buffer, (size_t)n);
        size_t head_end = text.find("\r\n\r\n");
        if (wanted == std::string::npos && head_end != std::string::npos) {
            size_t at = text.find("content-length: ");
            wanted = head_end + 4;
            if (at != std::string::npos && at < head_end) {
                wanted += (size_t)atol(text.c_str() + at + 16);
            }
        }
    }
    return text;
}

/* Reads the head of a request and nothing after it. */
static inline std::string
test_read_head(int fd)
{
    std::string text;
    char byte;
    while (text.find("\r\n\r\n") == std::string::npos &&
           recv(fd, &byte, 1, 0) > 0) {
        text += byte;
    }
    return text;
}

/* Discards received bytes until the other side closes the connection. */
static inline void
test_wait_for_close(int fd)
{
    char buffer[4096];
    while (recv(fd, buffer, sizeof(buffer), 0) > 0) {
    }
}

/* Returns the value of a request's header, or "". */
static inline std::string
test_header(const std::string &request, const std::string &name)
{
    size_t at = request.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return "";
    }
    at += name.size() + 4;
    return request.substr(at, request.find("\r\n", at) - at);
}

/* A port that refuses connections.  It stays bound but does not listen, so
 * that no other process gets it. */
struct test_closed_port {
    test_closed_port()
    {
        struct sockaddr_in address = {};
        socklen_t size = sizeof(address);
        fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(fd_, (struct sockaddr *)&address, size);
        getsockname(fd_, (struct sockaddr *)&address, &size);
        port = ntohs(address.sin_port);
    }

    ~test_closed_port()
    {
        close(fd_);
    }

    int port = 0;

  private:
    int fd_ = -1;
};

struct test_server {
    using script = std::function<void(int, const std::string &)>;

    /* reads_body: the script runs when the whole request has arrived;
     * otherwise once its head has. */
    explicit test_server(script run, bool reads_body = true)
        : run_(std::move(run)), reads_body_(reads_body)
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        struct sockaddr_in address = {};
        socklen_t size = sizeof(address);
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(listener_, (struct sockaddr *)&address, size);
        getsockname(listener_, (struct sockaddr *)&address, &size);
        port = ntohs(address.sin_port);
        if (!reads_body_) {
            /* Most of a long body then stays with its sender. */
            int buffer = 4096;
            setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &buffer,
                       sizeof(buffer));
        }
        listen(listener_, 128);
        accept_thread_ = std::thread([this] { accept_all(); });
    }

    ~test_server()
    {
        is_stopping_ = true;
        shutdown(listener_, SHUT_RDWR);
        accept_thread_.join();
        {
            std::lock_guard<std::mutex> guard(lock_);
            for (int fd : open_) {
                shutdown(fd, SHUT_RDWR);
            }
        }
        for (auto &thread : threads_) {
            thread.join();
        }
        close(listener_);
    }

    std::vector<std::string>
    requests()
    {
        std::lock_guard<std::mutex> guard(lock_);
        return requests_;
    }

    int port = 0;
    std::atomic<int> n_closed{0};

  private:
    void
    accept_all()
    {
        while (!is_stopping_) {
            int fd = accept(listener_, nullptr, nullptr);
            if (fd < 0) {
                return;
            }
            std::lock_guard<std::mutex> guard(lock_);
            open_.push_back(fd);
            threads_.emplace_back([this, fd] { serve(fd); });
        }
    }

    void
    serve(int fd)
    {
        std::string request =
            reads_body_ ? test_read_request(fd) : test_read_head(fd);
        {
            std::lock_guard<std::mutex> guard(lock_);
            requests_.push_back(request);
        }
        run_(fd, request);
        std::lock_guard<std::mutex> guard(lock_);
        for (size_t i = 0; i < open_.size(); i++) {
            if (open_[i] == fd) {
                open_.erase(open_.begin() + (long)i);
                break;
            }
        }
        close(fd);
        n_closed++;
    }

    script run_;
    bool reads_body_;
    int listener_ = -1;
    std::atomic<bool> is_stopping_{false};
    std::thread accept_thread_;
    std::mutex lock_;
    std::vector<int> open_;
    std::vector<std::thread> threads_;
    std::vector<std::string> requests_;
};

#endif
