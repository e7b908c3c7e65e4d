/*
 * A fake key-value service for tests: it serves the etcd gateway's calls on a
 * loopback port and can inject a fault into each request.
 *
 *     FakeKv fake;
 *     fake.script = {TAKES_EFFECT_THEN_CLOSES};
 *     fake.start();
 *     ... connect to fake.address() ...
 */
#ifndef CARDAMOM_PLATFORM_TEST_FAKE_KV_H
#define CARDAMOM_PLATFORM_TEST_FAKE_KV_H

#include <arpa/inet.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/* What the fake does with one request: the normal response or a fault. */
enum fault {
    ANSWERS,
    TAKES_EFFECT_THEN_CLOSES, /* executes the request, sends no response */
    CLOSES_WITHOUT_EFFECT,
    TAKES_EFFECT_THEN_SILENT, /* the same, but the connection stays open */
    FAILS_503,                /* without effect */
    REJECTS_413,              /* without effect, and always will */
};

struct record {
    std::string value; /* base64 */
    int64_t revision;
};

inline std::string
text_member(const json_t *object, const char *name)
{
    const char *text = json_string_value(json_object_get(object, name));
    return text != nullptr ? text : "";
}

/* Decodes a base64 member. */
inline std::string
decode_member(const json_t *object, const char *name)
{
    gsize size;
    guchar *bytes = g_base64_decode(text_member(object, name).c_str(), &size);
    std::string out((const char *)bytes, size);
    g_free(bytes);
    return out;
}

/* Listens on a free loopback port.  Each request gets the next fault of the
 * script; after its end all requests get the normal response. */
class FakeKv {
  public:
    std::vector<fault> script;
    std::map<std::string, record> records; /* by key */
    std::vector<std::string> paths;        /* of the received requests */
    std::vector<std::string> watch_lines;  /* sent when a watch opens */
    int silent_watches = 0; /* the number of first watches that get no lines */
    bool leases_exist = true;
    std::function<void(FakeKv *)> before_effect; /* for each request */
    int64_t revision = 10;
    int port = 0;
    /* Links that are slow: bytes in a second, 0: without limit. */
    size_t response_bytes_per_s = 0;
    size_t request_bytes_per_s = 0;
    bool repeats_pages = false; /* sends the first page of a list each time */
    bool is_endless = false;    /* sends bytes until the client closes */
    /* Header lines of responses; empty: a length. */
    std::string framing;
    /* Puts a body into the form that `framing` announces. */
    std::function<std::string(const std::string &)> frame;
    std::atomic<size_t> longest_response{0}; /* bytes sent of an endless one */

    FakeKv()
    {
        sockaddr_in address = {};
        socklen_t size = sizeof(address);
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        listener = socket(AF_INET, SOCK_STREAM, 0);
        EXPECT_EQ(bind(listener, (sockaddr *)&address, sizeof(address)), 0);
        int buffer = 32768; /* what is sent is soon received, or waits */
        setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
        EXPECT_EQ(listen(listener, 64), 0);
        getsockname(listener, (sockaddr *)&address, &size);
        port = ntohs(address.sin_port);
    }

    void
    start()
    {
        loop = std::thread([this] { accept_all(); });
    }

    ~FakeKv()
    {
        is_ending = true;
        if (loop.joinable()) {
            loop.join();
        }
        for (auto &thread : connections) {
            thread.join();
        }
        close(listener);
    }

    std::string
    address() const
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    void
    set_script(const std::vector<fault> &faults)
    {
        std::lock_guard<std::mutex> guard(lock);
        script = faults;
        next = 0;
    }

    int
    n_requests()
    {
        std::lock_guard<std::mutex> guard(lock);
        return (int)paths.size();
    }

    int
    calls_of(const std::string &path)
    {
        std::lock_guard<std::mutex> guard(lock);
        int n = 0;
        for (const auto &seen : paths) {
            n += seen == path;
        }
        return n;
    }

  private:
    int listener;
    std::thread loop;
    std::vector<std::thread> connections;
    std::atomic<bool> is_ending{false};
    std::mutex lock;
    size_t next = 0;
    int watches = 0;
    std::string list_start;

    bool
    wait_readable(int fd)
    {
        while (!is_ending) {
            pollfd one = {fd, POLLIN, 0};
            if (poll(&one, 1, 10) > 0) {
                return true;
            }
        }
        return false;
    }

    void
    accept_all()
    {
        while (wait_readable(listener)) {
            int fd = accept(listener, nullptr, nullptr);
            connections.emplace_back([this, fd] {
                serve(fd);
                close(fd);
            });
        }
    }

    bool
    read_request(int fd, std::string *path, std::string *body)
    {
        std::string text;
        size_t head = std::string::npos;
        size_t length = 0;
        while (head == std::string::npos || text.size() < head + 4 + length) {
            char buffer[4096];
            ssize_t n =
                wait_readable(fd) ? recv(fd, buffer, sizeof(buffer), 0) : 0;
            if (n <= 0) {
                return false;
            }
            text.append(buffer, (size_t)n);
            pause(n, request_bytes_per_s);
            head = text.find("\r\n\r\n");
            size_t at = strcasestr(text.c_str(), "content-length:")
                            ? strcasestr(text.c_str(), "content-length:") -
                                  text.c_str()
                            : std::string::npos;
            length =
                at < head ? strtoul(text.c_str() + at + 15, nullptr, 10) : 0;
        }
        size_t begin = text.find(' ') + 1;
        *path = text.substr(begin, text.find(' ', begin) - begin);
        *body = text.substr(head + 4);
        return true;
    }

    /* Waits as long as a link of some bytes in a second takes for n. */
    static void
    pause(ssize_t n, size_t bytes_per_s)
    {
        if (bytes_per_s > 0) {
            g_usleep((gulong)n * G_USEC_PER_SEC / bytes_per_s);
        }
    }

    void
    send_text(int fd, const std::string &text)
    {
        size_t part = response_bytes_per_s > 0 ? 4096 : text.size();
        for (size_t at = 0; at < text.size() && !is_ending; at += part) {
            size_t n = std::min(part, text.size() - at);
            if (send(fd, text.data() + at, n, MSG_NOSIGNAL) < 0) {
                return;
            }
            pause((ssize_t)n, response_bytes_per_s);
        }
    }

    void
    send_response(int fd, int status, const std::string &body)
    {
        std::string head = "HTTP/1.1 " + std::to_string(status) + " x\r\n";
        if (frame) {
            send_text(fd, head + framing + "\r\n" + frame(body));
            return;
        }
        send_text(fd, head + framing + "content-length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /* Keeps the connection open without sending until the client closes it. */
    void
    wait_for_close(int fd)
    {
        char byte;
        while (wait_readable(fd) && recv(fd, &byte, 1, 0) > 0) {
        }
    }

    void
    serve(int fd)
    {
        std::string path;
        std::string body;
        if (!read_request(fd, &path, &body)) {
            return;
        }
        if (path == "/v3/watch") {
            serve_watch(fd);
            return;
        }
        std::unique_lock<std::mutex> guard(lock);
        fault planned = next < script.size() ? script[next] : ANSWERS;
        next++;
        paths.push_back(path);
        if (planned == CLOSES_WITHOUT_EFFECT) {
            return;
        }
        if (is_endless) {
            guard.unlock();
            send_without_end(fd);
            return;
        }
        if (planned == FAILS_503) {
            send_response(fd, 503, "{\"error\":\"no leader\",\"code\":14}");
            return;
        }
        if (planned == REJECTS_413) {
            send_response(fd, 413, "{\"error\":\"too large\",\"code\":3}");
            return;
        }
        if (before_effect) {
            before_effect(this);
        }
        int status = 200;
        std::string reply = effect(path, body, &status);
        guard.unlock();
        if (planned == ANSWERS) {
            send_response(fd, status, reply);
        }
        else if (planned == TAKES_EFFECT_THEN_SILENT) {
            wait_for_close(fd);
        }
    }

    void
    send_without_end(int fd)
    {
        const std::string part(65536, ' ');
        size_t n_sent = 0;
        send_text(fd, "HTTP/1.1 200 x\r\ncontent-length: 99999999999\r\n\r\n");
        while (!is_ending &&
               send(fd, part.data(), part.size(), MSG_NOSIGNAL) > 0) {
            n_sent += part.size();
            longest_response = std::max(n_sent, (size_t)longest_response);
        }
    }

    void
    serve_watch(int fd)
    {
        std::vector<std::string> lines;
        {
            std::lock_guard<std::mutex> guard(lock);
            paths.push_back("/v3/watch");
            if (watches++ >= silent_watches) {
                lines = watch_lines;
            }
        }
        send_text(fd, "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n");
        for (const auto &line : lines) {
            char size[16];
            snprintf(size, sizeof(size), "%zx\r\n", line.size() + 1);
            send_text(fd, size + line + "\n\r\n");
        }
        wait_for_close(fd);
    }

    std::string
    header() const
    {
        return "{\"header\":{\"revision\":\"" + std::to_string(revision) +
               "\"}";
    }

    std::string
    range(const json_t *request)
    {
        std::string first = decode_member(request, "key");
        list_start = list_start.empty() ? first : list_start;
        first = repeats_pages ? list_start : first;
        std::string end = decode_member(request, "range_end");
        long limit = atol(text_member(request, "limit").c_str());
        std::string list;
        bool has_more = false;
        for (auto at = records.lower_bound(first); at != records.end(); ++at) {
            bool is_in = end.empty() ? at->first == first : at->first < end;
            if (!is_in || has_more) {
                break;
            }
            gchar *key = g_base64_encode((const guchar *)at->first.data(),
                                         at->first.size());
            list += std::string(list.empty() ? "" : ",") + "{\"key\":\"" +
                    key + "\",\"mod_revision\":\"" +
                    std::to_string(at->second.revision) + "\",\"value\":\"" +
                    at->second.value + "\"}";
            g_free(key);
            has_more = limit > 0 && --limit == 0;
        }
        return header() + (has_more ? ",\"more\":true" : "") +
               (list.empty() ? "" : ",\"kvs\":[" + list + "]") + "}";
    }

    std::string
    txn(const json_t *root)
    {
        const json_t *compare =
            json_array_get(json_object_get(root, "compare"), 0);
        const json_t *step =
            json_array_get(json_object_get(root, "success"), 0);
        const json_t *put = json_object_get(step, "request_put");
        const json_t *deletion = json_object_get(step, "request_delete_range");
        std::string key = decode_member(put ? put : deletion, "key");
        auto found = records.find(key);
        int64_t current_revision =
            found != records.end() ? found->second.revision : 0;
        if (compare != nullptr &&
            current_revision !=
                atoll(text_member(compare, "mod_revision").c_str())) {
            return header() + ",\"responses\":[{\"response_range\":" +
                   range(put ? put : deletion) + "}]}";
        }
        revision++;
        if (put != nullptr) {
            records[key] = {text_member(put, "value"), revision};
        }
        else {
            records.erase(key);
        }
        return header() + ",\"succeeded\":true}";
    }

    std::string
    lease(const std::string &path, const json_t *root, int *status)
    {
        std::string id = "\"ID\":\"" + text_member(root, "ID") + "\"";
        if (path == "/v3/lease/grant") {
            return header() + "," + id + ",\"TTL\":\"5\"}";
        }
        if (!leases_exist && path == "/v3/lease/revoke") {
            *status = 404;
            return "{\"error\":\"requested lease not found\",\"code\":5}";
        }
        if (path == "/v3/lease/revoke") {
            return header() + "}";
        }
        std::string ttl = leases_exist ? ",\"TTL\":\"5\"" : "";
        return "{\"result\":" + header() + "," + id + ttl + "}}";
    }

    std::string
    effect(const std::string &path, const std::string &body, int *status)
    {
        json_t *root = json_loads(body.c_str(), 0, nullptr);
        std::string reply = "{}";
        if (path == "/v3/kv/range") {
            reply = range(root);
        }
        else if (path == "/v3/kv/txn") {
            reply = txn(root);
        }
        else {
            reply = lease(path, root, status);
        }
        json_decref(root);
        return reply;
    }
};

#endif
