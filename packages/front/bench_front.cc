/*
 * front_bench: measures the front and the backends package on this machine.
 * The engine and the callers run on threads of the same process.
 *
 *     front_bench relay STREAMS TOKENS_PER_S SECONDS
 *     front_bench memory STREAMS
 *     front_bench requests IN_FLIGHT SECONDS
 *     front_bench backends IN_FLIGHT SECONDS
 *
 * Processor time is that of the measured thread only, so the figures per core
 * are those of a core that runs nothing else.  Each benchmark prints one line
 * of key=value pairs.
 */
#include <dirent.h>
#include <libwebsockets.h>
#include <poll.h>
#include <sys/resource.h>

#include "backends/backends.h"
#include "front/test_support.h"

namespace {

/* Returns the processor time of the threads with this name, in seconds. */
double
thread_cpu_s(const char *name)
{
    DIR *folder = opendir("/proc/self/task");
    struct dirent *entry;
    double seconds = 0;
    while ((entry = readdir(folder)) != nullptr) {
        std::string base = std::string("/proc/self/task/") + entry->d_name;
        char comm[32] = "";
        unsigned long long ran_ns = 0;
        FILE *file = fopen((base + "/comm").c_str(), "r");
        if (file == nullptr) {
            continue;
        }
        bool is_read = fscanf(file, "%31s", comm) == 1;
        fclose(file);
        if (!is_read || strcmp(comm, name) != 0) {
            continue;
        }
        file = fopen((base + "/schedstat").c_str(), "r");
        if (file != nullptr) {
            if (fscanf(file, "%llu", &ran_ns) == 1) {
                seconds += (double)ran_ns / 1e9;
            }
            fclose(file);
        }
    }
    closedir(folder);
    return seconds;
}

/* Returns the processor time of the calling thread, in seconds. */
double
own_cpu_s()
{
    struct timespec time;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return (double)time.tv_sec + (double)time.tv_nsec / 1e9;
}

/* Returns the resident memory of the process in KiB. */
long
resident_kb()
{
    long size = 0;
    long resident = 0;
    FILE *file = fopen("/proc/self/statm", "r");
    if (fscanf(file, "%ld %ld", &size, &resident) != 2) {
        resident = 0;
    }
    fclose(file);
    return resident * (sysconf(_SC_PAGESIZE) / 1024);
}

/* An engine on one thread.  It sends each token to all streams at a time, at a
 * rate that gives all streams together `tokens_per_s`; with 0 it sends only
 * the first token.  With is_short a response is one token, after which the
 * connection closes. */
struct bench_engine {
    bench_engine(double tokens_per_s, bool is_short)
        : tokens_per_s_(tokens_per_s), is_short_(is_short)
    {
        struct sockaddr_in address = {};
        socklen_t size = sizeof(address);
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(listener_, (struct sockaddr *)&address, size);
        getsockname(listener_, (struct sockaddr *)&address, &size);
        port = ntohs(address.sin_port);
        listen(listener_, 4096);
        thread_ = std::thread([this] { run(); });
    }

    ~bench_engine()
    {
        is_stopping_ = true;
        thread_.join();
        for (auto &stream : streams_) {
            close(stream.fd);
        }
        close(listener_);
    }

    std::atomic<size_t> n_streams{0};
    int port = 0;

  private:
    struct stream {
        int fd;
        std::string token; /* empty: the request is incomplete */
        std::string request;
    };

    void
    run()
    {
        double due = (double)base_clock_us();
        while (!is_stopping_) {
            std::vector<struct pollfd> fds;
            fds.push_back({listener_, POLLIN, 0});
            for (auto &stream : streams_) {
                fds.push_back({stream.fd, POLLIN, 0});
            }
            poll(fds.data(), fds.size(), 1);
            accept_new(fds[0].revents);
            for (size_t i = fds.size() - 1; i > 0; i--) {
                if (fds[i].revents != 0 && !read_from(&streams_[i - 1])) {
                    close(streams_[i - 1].fd);
                    streams_.erase(streams_.begin() + (long)i - 1);
                }
            }
            if (tokens_per_s_ > 0 && (double)base_clock_us() >= due) {
                due += 1e6 * (double)MAX(streams_.size(), 1) / tokens_per_s_;
                for (auto &stream : streams_) {
                    test_write(stream.fd, stream.token);
                }
            }
        }
    }

    void
    accept_new(short revents)
    {
        int fd;
        while (revents != 0 &&
               (fd = accept(listener_, nullptr, nullptr)) >= 0) {
            streams_.push_back({fd, "", ""});
        }
    }

    bool
    read_from(struct stream *stream)
    {
        char buffer[8192];
        ssize_t n = recv(stream->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (n <= 0) {
            return false;
        }
        stream->request.append(buffer, (size_t)n);
        size_t head = stream->request.find("\r\n\r\n");
        if (head == std::string::npos || !stream->token.empty()) {
            return true;
        }
        std::string size = test_header(stream->request, "content-length");
        if (stream->request.size() < head + 4 + (size_t)atol(size.c_str())) {
            return true;
        }
        std::string text = test_stream_head(stream->request);
        if (is_short_) {
            test_write(stream->fd, text + test_token(stream->request, 1) +
                                       test_stream_end(stream->request));
            return false;
        }
        stream->token = test_token(stream->request, 1);
        test_write(stream->fd, text + stream->token);
        n_streams++;
        return true;
    }

    double tokens_per_s_;
    bool is_short_;
    int listener_;
    std::atomic<bool> is_stopping_{false};
    std::vector<struct stream> streams_;
    std::thread thread_;
};

/* The test fixture, used without a test. */
struct bench_front : public Front {
    void
    TestBody() override
    {
    }

    /* Starts the front with the engine on that port.  The fixture takes its
     * port from a test server, whose own port is restored for its destructor.
     */
    void
    start_with(int engine_port)
    {
        struct test_server unused(test_engine);
        int own_port = unused.port;
        SetUp();
        unused.port = engine_port;
        start({&unused});
        unused.port = own_port;
    }

    void
    stop()
    {
        TearDown();
    }
};

/* Opens streams through the front and waits until `n` are open at the engine.
 */
std::vector<int>
open_streams(struct bench_front *front, struct bench_engine *engine, size_t n)
{
    std::vector<int> fds;
    for (size_t i = 0; i < n; i++) {
        fds.push_back(test_connect(front->port));
        test_write(fds.back(), test_chat(true));
    }
    while (engine->n_streams < n) {
        g_usleep(1000);
    }
    return fds;
}

void
close_all(const std::vector<int> &fds)
{
    for (int fd : fds) {
        close(fd);
    }
}

/* Reads and drops what has arrived, waiting up to 10 ms for more. */
void
drain_once(std::vector<struct pollfd> *fds)
{
    static char buffer[65536];
    poll(fds->data(), fds->size(), 10);
    for (auto &fd : *fds) {
        while (fd.revents != 0 &&
               recv(fd.fd, buffer, sizeof(buffer), MSG_DONTWAIT) > 0) {
        }
    }
}

/* Tokens that the front relays per second and per second of processor time. */
void
bench_relay(size_t n_streams, double tokens_per_s, double seconds)
{
    struct bench_engine engine(tokens_per_s, false);
    struct bench_front front;
    front.start_with(engine.port);
    std::vector<int> fds = open_streams(&front, &engine, n_streams);
    std::vector<struct pollfd> polled;
    for (int fd : fds) {
        polled.push_back({fd, POLLIN, 0});
    }
    int64_t tokens = front.counter("tokens_relayed_total");
    double cpu = thread_cpu_s("front");
    int64_t start_us = base_clock_us();
    while ((double)(base_clock_us() - start_us) < seconds * 1e6) {
        drain_once(&polled);
    }
    double wall = (double)(base_clock_us() - start_us) / 1e6;
    cpu = thread_cpu_s("front") - cpu;
    tokens = front.counter("tokens_relayed_total") - tokens;
    printf("bench=relay streams=%zu tokens_per_s=%.0f cpu_share=%.3f "
           "tokens_per_core_s=%.0f\n",
           n_streams, (double)tokens / wall, cpu / wall, (double)tokens / cpu);
    close_all(fds);
    front.stop();
}

/* Resident memory per open stream, in the front, the engine and the callers.
 */
void
bench_memory(size_t n_streams)
{
    struct bench_engine engine(0, false);
    struct bench_front front;
    front.start_with(engine.port);
    std::vector<int> fds = open_streams(&front, &engine, 10);
    while (front.counter("open_streams") < 10) {
        g_usleep(1000);
    }
    long before = resident_kb();
    std::vector<int> more = open_streams(&front, &engine, 10 + n_streams - 10);
    while (front.counter("open_streams") < (int64_t)n_streams) {
        g_usleep(1000);
    }
    g_usleep(300000);
    long after = resident_kb();
    printf("bench=memory streams=%zu resident_kb=%ld kb_per_stream=%.1f\n",
           n_streams, after, (double)(after - before) / (double)n_streams);
    close_all(fds);
    close_all(more);
    front.stop();
}

/* Short requests through the front, from one thread per caller. */
void
bench_requests(int in_flight, double seconds)
{
    struct bench_engine engine(0, true);
    struct bench_front front;
    front.start_with(engine.port);
    std::atomic<int64_t> n_done{0};
    std::atomic<bool> is_stopping{false};
    std::vector<std::thread> callers;
    for (int i = 0; i < in_flight; i++) {
        callers.emplace_back([&] {
            int fd = test_connect(front.port);
            while (!is_stopping) {
                test_write(fd, test_chat(false));
                if (test_read_answer(fd).status != 200) {
                    fprintf(stderr, "a request failed\n");
                    break;
                }
                n_done++;
            }
            close(fd);
        });
    }
    double cpu = thread_cpu_s("front");
    int64_t start_us = base_clock_us();
    int64_t first = n_done;
    g_usleep((gulong)(seconds * 1e6));
    double n = (double)(n_done - first);
    double wall = (double)(base_clock_us() - start_us) / 1e6;
    cpu = thread_cpu_s("front") - cpu;
    is_stopping = true;
    for (auto &caller : callers) {
        caller.join();
    }
    printf("bench=requests in_flight=%d per_s=%.0f cpu_share=%.3f "
           "per_core_s=%.0f\n",
           in_flight, n / wall, cpu / wall, n / cpu);
    front.stop();
}

/* Calls in a loop: when one ends, the next one starts. */
struct calls {
    struct backends backends;
    struct backends_request request;
    int64_t n_done;
    int64_t n_failed;
    bool is_stopping;
};

void
on_call_done(void *context, const struct backends_result *result)
{
    auto *calls = (struct calls *)context;
    struct base_error err = {};
    calls->n_done++;
    /* Only the status is checked: the engine ends a stream by closing the
     * connection. */
    calls->n_failed += result->status != 200 ? 1 : 0;
    if (!calls->is_stopping) {
        backends_send(&calls->backends, &calls->request, &err);
    }
}

/* Calls by the backends package alone, without a front. */
void
bench_backends(int in_flight, double seconds)
{
    static const struct backends_ops OPS = {nullptr, nullptr, on_call_done};
    struct bench_engine engine(0, true);
    struct lws_context_creation_info info = {};
    struct base_error err = {};
    struct calls calls = {};
    info.port = CONTEXT_PORT_NO_LISTEN;
    lws_set_log_level(0, nullptr);
    backends_prepare_info(&info);
    struct lws_context *lws = lws_create_context(&info);
    struct backends_desc desc = {};
    desc.context = lws;
    backends_init(&calls.backends, &desc, &err);
    calls.request.ops = &OPS;
    calls.request.context = &calls;
    calls.request.host = "127.0.0.1";
    calls.request.port = engine.port;
    calls.request.method = "POST";
    calls.request.path = "/v1/x";
    calls.request.body = "{}";
    calls.request.body_size = 2;
    for (int i = 0; i < in_flight; i++) {
        backends_send(&calls.backends, &calls.request, &err);
    }
    double cpu = own_cpu_s();
    int64_t start_us = base_clock_us();
    while ((double)(base_clock_us() - start_us) < seconds * 1e6) {
        lws_service(lws, 0);
    }
    double wall = (double)(base_clock_us() - start_us) / 1e6;
    cpu = own_cpu_s() - cpu;
    printf("bench=backends in_flight=%d per_s=%.0f failed=%ld cpu_share=%.3f "
           "per_core_s=%.0f\n",
           in_flight, (double)calls.n_done / wall, (long)calls.n_failed,
           cpu / wall, (double)calls.n_done / cpu);
    calls.is_stopping = true;
    backends_finish(&calls.backends);
    lws_context_destroy(lws);
}

} // namespace

int
main(int argc, char **argv)
{
    std::string name = argc > 1 ? argv[1] : "";
    double first = argc > 2 ? atof(argv[2]) : 0;
    double second = argc > 3 ? atof(argv[3]) : 0;
    double third = argc > 4 ? atof(argv[4]) : 0;

    if (name == "relay" && argc == 5) {
        bench_relay((size_t)first, second, third);
    }
    else if (name == "memory" && argc == 3) {
        bench_memory((size_t)first);
    }
    else if (name == "requests" && argc == 4) {
        bench_requests((int)first, second);
    }
    else if (name == "backends" && argc == 4) {
        bench_backends((int)first, second);
    }
    else {
        fprintf(stderr, "usage: front_bench relay STREAMS TOKENS_PER_S "
                        "SECONDS | memory STREAMS | requests IN_FLIGHT "
                        "SECONDS | backends IN_FLIGHT SECONDS\n");
        return 2;
    }
    return 0;
}
