/* Ports for the nodes of tests. */
#ifndef BASE_TEST_PORTS_H
#define BASE_TEST_PORTS_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <set>

/* Returns a free port of 127.0.0.1 and reserves it within this process.  It is
 * below the ports that the system gives to outgoing connections, one of which
 * could otherwise take it before the caller listens. */
inline int
test_free_port()
{
    static std::set<int> reserved;
    std::random_device random;
    std::uniform_int_distribution<int> ports(20000, 32000);

    while (true) {
        int port = ports(random);
        struct sockaddr_in at = {};
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        at.sin_family = AF_INET;
        at.sin_port = htons((uint16_t)port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bool is_free = bind(fd, (struct sockaddr *)&at, sizeof(at)) == 0;
        close(fd);
        if (is_free && reserved.insert(port).second) {
            return port;
        }
    }
}

#endif
