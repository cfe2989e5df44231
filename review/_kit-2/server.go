package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is heartbeat_s of the settings.
const heartbeatInterval = 1500 * time.Millisecond

// server is a stand-in for an application server, as PROTOCOL.md describes it.
type server struct {
	id, service, zone string
	address           string // on which it listens
	admin             string // of the daemon on its machine
	slots             int
	born              int64
	// run serves one request that the server runs. It returns false to end the connection.
	run func(conn net.Conn, reader *bufio.Reader, r *http.Request, body []byte) bool
	// health overrides the status of the health check, 0 for a sound server's.
	health   atomic.Int32
	leaving  atomic.Bool
	sequence atomic.Int64
	listener net.Listener
	stopBeat context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// listen starts the server and its heartbeats.
func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener = listener
	s.born = time.Now().UnixMilli()
	ctx, cancel := context.WithCancel(context.Background())
	s.stopBeat = cancel
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	go s.beat(ctx)
	return nil
}

// serve serves one request at a time on a connection.
func (s *server) serve(conn net.Conn) {
	s.mu.Lock()
	if s.conns == nil {
		s.conns = map[net.Conn]bool{}
	}
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		switch {
		case r.URL.Path == "/health":
			status := int(s.health.Load())
			if status == 0 && s.leaving.Load() {
				status = http.StatusServiceUnavailable
			}
			if status == 0 {
				status = http.StatusOK
			}
			fmt.Fprintf(conn, "HTTP/1.1 %d Health\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, s.id)
		case r.Header.Get("X-Attempt-Id") == "":
			fmt.Fprintf(conn, "HTTP/1.1 400 No id\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != s.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 Another\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"))
		default:
			if !s.run(conn, reader, r, body) {
				return
			}
		}
		if r.Close {
			return
		}
	}
}

// answer writes a whole answer with a length.
func (s *server) answer(conn net.Conn, id, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s-%s\r\nContent-Length: %d\r\n\r\n%s", id, s.id, id, len(body), body)
	return err == nil
}

func (s *server) beat(ctx context.Context) {
	for {
		if s.leaving.Load() {
			return
		}
		_ = s.heartbeat("ready", s.sequence.Add(1), time.Second)
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends one heartbeat to the daemon on its machine.
func (s *server) heartbeat(state string, sequence int64, limit time.Duration) int {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_s":0,"sequence":%d,"born":%d}`,
		s.service, s.address, s.zone, s.slots, state, sequence, s.born)
	return s.post("instances.heartbeat", body, limit)
}

func (s *server) post(call, body string, limit time.Duration) int {
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+s.admin+"/rpc?call="+call+"&of="+s.id, "application/json", strings.NewReader(body))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// stop ends the server like the exit of its process.
func (s *server) stop() {
	s.stopBeat()
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// newServer returns a server for the machine of a daemon.
func newServer(n *node, id string, slots int) *server {
	return &server{id: id, service: n.service, zone: n.zone, address: n.at(portServer), admin: n.at(portAdmin), slots: slots}
}
