"""Links of processes under test: loopback proxies whose connections can be
delayed, held in one direction or both, and reset.

    link = Link(target_port)     # connect to link.port instead
    link.delay_s = 0.2           # of each piece, both directions
    link.hold(["down"])          # nothing reaches the clients
    link.release()               # and now what was held does
    link.reset()                 # closes all connections with a reset
    link.close()
"""
import socket
import struct
import threading
import time

PIECE = 65536
DIRECTIONS = ("up", "down")  # to the server, to the client
# Closing a socket with these options sends a reset.
RESET = struct.pack("ii", 1, 0)


class Link:
    def __init__(self, target_port):
        self.target_port = target_port
        self.delay_s = 0
        self.flows = {name: threading.Event() for name in DIRECTIONS}
        self.release()
        self.lock = threading.Lock()
        self.sockets = set()
        self.is_closed = False
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def hold(self, directions):
        for name in directions:
            self.flows[name].clear()

    def release(self):
        for flow in self.flows.values():
            flow.set()

    def reset(self):
        with self.lock:
            for each in self.sockets:
                try:
                    each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    each.shutdown(socket.SHUT_RD)  # wakes the thread
                except OSError:
                    pass  # it has ended by itself

    def close(self):
        self.is_closed = True
        self.listener.close()
        self.release()
        self.reset()

    def accept(self):
        while not self.is_closed:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(client,),
                             daemon=True).start()

    def serve(self, client):
        """Carries one connection until either side ends it."""
        try:
            server = socket.create_connection(("127.0.0.1", self.target_port),
                                              timeout=5)
        except OSError:
            client.close()
            return
        server.settimeout(None)
        with self.lock:
            self.sockets |= {client, server}
        threads = [threading.Thread(target=self.carry, args=each, daemon=True)
                   for each in ((client, server, "up"),
                                (server, client, "down"))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        with self.lock:
            self.sockets -= {client, server}
        client.close()
        server.close()

    def carry(self, source, sink, name):
        try:
            while True:
                piece = source.recv(PIECE)
                time.sleep(self.delay_s)
                self.flows[name].wait()
                if not piece:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(piece)
        except OSError:
            # One side is gone: the other learns of it at once.
            for each in (source, sink):
                try:
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
