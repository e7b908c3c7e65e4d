#include <gtest/gtest.h>

#include <algorithm>
#include <arpa/inet.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include "wire/wire.h"

namespace {

enum { ECHO = WIRE_FIRST_KIND };

/* A TCP relay to one port.  silence() stops relaying on all open connections
 * for good without closing them; connections opened later work.  After
 * lose_next() the next bytes are dropped, and their connection is reset. */
class Relay {
  public:
    explicit Relay(int target_port) : target_port_(target_port)
    {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        struct sockaddr_in any = local(0);
        socklen_t size = sizeof(any);
        EXPECT_EQ(bind(listener_, (struct sockaddr *)&any, size), 0);
        EXPECT_EQ(listen(listener_, 16), 0);
        getsockname(listener_, (struct sockaddr *)&any, &size);
        port_ = ntohs(any.sin_port);
        thread_ = std::thread([this] { relay_until_stopped(); });
    }
    ~Relay()
    {
        __atomic_store_n(&is_stopping_, true, __ATOMIC_SEQ_CST);
        thread_.join();
        for (int fd : fds_) {
            close(fd);
        }
        close(listener_);
    }
    std::string
    address()
    {
        return "127.0.0.1:" + std::to_string(port_);
    }
    void
    silence()
    {
        __atomic_store_n(&wants_silence_, true, __ATOMIC_SEQ_CST);
        while (__atomic_load_n(&wants_silence_, __ATOMIC_SEQ_CST)) {
            g_usleep(1000);
        }
    }

    void
    lose_next()
    {
        __atomic_store_n(&wants_loss_, true, __ATOMIC_SEQ_CST);
    }

  private:
    struct Pair {
        int a;
        int b;
    };
    int target_port_;
    int port_ = 0;
    int listener_ = -1;
    bool is_stopping_ = false;
    bool wants_silence_ = false;
    bool wants_loss_ = false;
    std::vector<Pair> pairs_;
    std::vector<int> fds_;
    std::thread thread_;

    static struct sockaddr_in
    local(int port)
    {
        struct sockaddr_in address = {};
        address.sin_family = AF_INET;
        address.sin_port = htons((uint16_t)port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }
    void
    relay_until_stopped()
    {
        while (!__atomic_load_n(&is_stopping_, __ATOMIC_SEQ_CST)) {
            if (__atomic_load_n(&wants_silence_, __ATOMIC_SEQ_CST)) {
                pairs_.clear();
                __atomic_store_n(&wants_silence_, false, __ATOMIC_SEQ_CST);
            }
            std::vector<struct pollfd> polled = {{listener_, POLLIN, 0}};
            for (const Pair &pair : pairs_) {
                polled.push_back({pair.a, POLLIN, 0});
                polled.push_back({pair.b, POLLIN, 0});
            }
            poll(polled.data(), polled.size(), 5);
            for (size_t i = 0; i < pairs_.size(); i++) {
                if ((polled[1 + 2 * i].revents & POLLIN) != 0 &&
                    __atomic_exchange_n(&wants_loss_, false,
                                        __ATOMIC_SEQ_CST)) {
                    reset(pairs_[i]);
                    pairs_.erase(pairs_.begin() + (ssize_t)i);
                    break;
                }
                forward(polled[1 + 2 * i], pairs_[i].a, pairs_[i].b);
                forward(polled[2 + 2 * i], pairs_[i].b, pairs_[i].a);
            }
            if (polled[0].revents & POLLIN) {
                accept_connection();
            }
        }
    }
    void
    accept_connection()
    {
        struct sockaddr_in target = local(target_port_);
        Pair pair = {accept(listener_, nullptr, nullptr),
                     socket(AF_INET, SOCK_STREAM, 0)};
        connect(pair.b, (struct sockaddr *)&target, sizeof(target));
        pairs_.push_back(pair);
        fds_.push_back(pair.a);
        fds_.push_back(pair.b);
    }
    void
    reset(const Pair &pair)
    {
        struct linger at_once = {1, 0};
        for (int fd : {pair.a, pair.b}) {
            setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
            close(fd);
            fds_.erase(std::find(fds_.begin(), fds_.end(), fd));
        }
    }
    static void
    forward(const struct pollfd &polled, int from, int to)
    {
        char bytes[65536];
        if (!(polled.revents & (POLLIN | POLLHUP))) {
            return;
        }
        ssize_t size = recv(from, bytes, sizeof(bytes), MSG_DONTWAIT);
        if (size > 0) {
            send(to, bytes, (size_t)size, MSG_NOSIGNAL);
        }
        else if (size == 0) {
            shutdown(to, SHUT_WR);
        }
    }
};

/* An endpoint that answers each request and records the answers to its own. */
struct Peer {
    struct base_counters counters;
    struct wire_endpoint endpoint;
    std::vector<struct wire_answer> answers;
    std::vector<std::string> reopened;
    int n_received = 0;

    explicit Peer(const char *name, const char *source = nullptr)
    {
        struct base_error err = {};
        struct wire_endpoint_desc desc = {};
        base_counters_init(&counters);
        desc.node = name;
        desc.address = "127.0.0.1:*";
        desc.source = source;
        /* Long enough that a delay on a busy machine does not count as
         * silence. */
        desc.silence_ms = 1000;
        desc.connect_ms = 5000;
        desc.counters = &counters;
        desc.context = this;
        desc.received = [](void *context, const struct wire_message *message) {
            Peer *self = (Peer *)context;
            self->n_received++;
            if (message->from.request != 0) {
                wire_reply(&self->endpoint, &message->from, ECHO, nullptr, 0);
            }
        };
        desc.reopened = [](void *context, const char *address) {
            ((Peer *)context)->reopened.push_back(address);
        };
        EXPECT_TRUE(wire_endpoint_init(&endpoint, &desc, &err)) << err.text;
    }
    ~Peer()
    {
        wire_endpoint_finish(&endpoint);
        base_counters_finish(&counters);
    }
    int
    port()
    {
        return atoi(strrchr(wire_endpoint_address(&endpoint), ':') + 1);
    }
    void
    request(const std::string &to, bool is_idempotent)
    {
        struct wire_request_desc desc = {};
        desc.address = to.c_str();
        desc.kind = ECHO;
        desc.timeout_ms = 20000;
        desc.is_idempotent = is_idempotent;
        desc.context = this;
        desc.answered = [](void *context, const struct wire_answer *answer) {
            ((Peer *)context)->answers.push_back(*answer);
        };
        wire_request(&endpoint, &desc);
    }
    void
    send(const std::string &to)
    {
        wire_send(&endpoint, to.c_str(), ECHO, nullptr, 0);
    }
    template <class F>
    bool
    until(Peer &other, F is_done)
    {
        for (int round = 0; round < 10000 && !is_done(); round++) {
            wire_endpoint_service(&endpoint, base_clock_ms());
            wire_endpoint_service(&other.endpoint, base_clock_ms());
            wire_endpoint_wait(&endpoint, -1, 1);
        }
        return is_done();
    }
    bool
    until_answered(Peer &other, size_t n_answers)
    {
        return until(other, [&] { return answers.size() >= n_answers; }) &&
               answers.size() == n_answers;
    }
    bool
    until_received_by(Peer &other, int n_received)
    {
        return until(other, [&] { return other.n_received >= n_received; });
    }
};

/* A connection that drops all data without closing must be replaced, each time
 * it happens.  Only the idempotent request may be sent again: the other one
 * may have run already. */
TEST(WireSilence, SilentConnectionIsReplacedAndOnlyIdempotentRequestsAreResent)
{
    Peer a("a");
    Peer b("b");
    Relay relay(b.port());
    for (int round = 0; round < 3; round++) {
        size_t before = a.answers.size();
        a.request(relay.address(), true);
        ASSERT_TRUE(a.until_answered(b, before + 1));
        ASSERT_EQ(a.answers[before].code, BASE_OK);
        relay.silence();
        int n_received = b.n_received;
        a.request(relay.address(), true);
        a.request(relay.address(), false);
        ASSERT_TRUE(a.until_answered(b, before + 3));
        int n_ok = 0;
        for (size_t i = before + 1; i < before + 3; i++) {
            if (a.answers[i].code == BASE_OK) {
                n_ok++;
                continue;
            }
            EXPECT_EQ(a.answers[i].code, BASE_UNAVAILABLE);
            EXPECT_EQ(a.answers[i].verdict, BASE_MAY_HAVE_RUN);
        }
        EXPECT_EQ(n_ok, 1);
        /* Only the idempotent request reached b, and only once. */
        EXPECT_EQ(b.n_received, n_received + 1);
        EXPECT_EQ(a.reopened.size(), (size_t)round + 1);
        EXPECT_EQ(a.reopened.back(), relay.address());
    }
}

/* A request that was lost with its connection must not wait for its time-out
 * because the next connection answers the probes. */
TEST(WireSilence, RequestLostInAResetIsResentOrFailsAtOnce)
{
    struct {
        bool is_idempotent;
        bool has_received; /* on the connection that is reset */
        const char *source;
    } cases[] = {{true, true, nullptr},
                 {false, true, nullptr},
                 {true, false, nullptr},
                 {false, false, "127.0.0.1"},
                 {true, true, "127.0.0.1"}};

    for (const auto &c : cases) {
        Peer a("a", c.source);
        Peer b("b");
        Relay relay(b.port());
        size_t n_answers = 0;
        if (c.has_received) {
            a.request(relay.address(), true);
            ASSERT_TRUE(a.until_answered(b, ++n_answers));
        }
        else {
            a.send(relay.address());
        }
        ASSERT_TRUE(a.until_received_by(b, 1));
        relay.lose_next();
        a.request(relay.address(), c.is_idempotent);
        ASSERT_TRUE(a.until_answered(b, ++n_answers));
        EXPECT_EQ(a.answers.back().code,
                  c.is_idempotent ? BASE_OK : BASE_UNAVAILABLE);
        EXPECT_EQ(b.n_received, c.is_idempotent ? 2 : 1);
    }
}

} // namespace
