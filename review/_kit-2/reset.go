package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case: answers without a length that are under way when their server crashes.
const (
	resetRounds   = 6 // each with a new fleet, until the rule is broken
	resetRequests = 120
	resetSlots    = 108
)

// resetBody is the whole body of the answer to a request.
func resetBody(id string) string { return strings.Repeat("body of "+id+"\n", 100) }

// resetCase crashes a server while it sends answers that have no length. No client may get a part as a whole answer.
func resetCase(r *record, trouble bool) bool {
	for round := range resetRounds {
		if !resetFleet(r, round, trouble) {
			return false
		}
	}
	return true
}

// resetFleet starts a fleet and plays one round on it.
func resetFleet(r *record, round int, trouble bool) bool {
	f := newFleet(r, "front", "books", "books", "books")
	defer f.stop()
	front, books, victim := f.daemons()[0], f.daemons()[1:3], f.daemons()[3] // the victim is in the zone of front
	idle := newServer(front, "i-front", resetSlots)
	idle.run = func(conn net.Conn, _ *bufio.Reader, q *http.Request, _ []byte) bool {
		return idle.answer(conn, q.Header.Get("X-Attempt-Id"), "front")
	}
	if err := idle.listen(); err != nil {
		setupFailed("server: %v", err)
	}
	defer idle.stop()
	f.putConfig(configText(1, 0, nil, []route{{Name: "read", Kind: "safe", Prefix: "/read/", Service: "books", Timeout: 5, Public: true}}, []string{"front", "books"}))
	f.awaitReady(f.daemons()...)
	for i, n := range books {
		sound := startResetServer(f, n, fmt.Sprintf("i-sound-%d", i))
		defer sound.end()
	}
	return resetRound(f, front, victim, round, trouble)
}

// resetRound starts a server, sends requests, and crashes the server once it has sent a part of each answer.
func resetRound(f *fleet, front, victim *node, round int, trouble bool) bool {
	id := fmt.Sprintf("i-books-%d", round)
	started := startResetServer(f, victim, id)
	defer started.end()
	awaitServed(f, front, id)
	started.reset()
	var wait sync.WaitGroup
	answers := make([]answer, resetRequests)
	for i := range resetRequests {
		wait.Go(func() {
			q := request{method: "GET", path: "/read/slow", id: fmt.Sprintf("r%d-%d", round, i), deadline: 5 * time.Second}
			answers[i] = send(front.at(portIngress), q)
		})
	}
	time.Sleep(time.Second)
	f.record.printf("server %s has begun %d answers", id, started.begun())
	if trouble {
		f.record.printf("server %s crashes: SIGKILL, its connections are reset", id)
		started.end()
	}
	wait.Wait()
	return checkReset(f.record, round, answers)
}

// checkReset applies MIXED: a success has the server's whole body.
func checkReset(r *record, round int, answers []answer) bool {
	whole, wrong, other := 0, 0, 0
	for i, a := range answers {
		id := fmt.Sprintf("r%d-%d", round, i)
		switch {
		case a.status == http.StatusOK && a.whole && a.body == resetBody(id) && a.seal != "":
			whole++
		case a.status == http.StatusOK && a.whole:
			wrong++
			r.printf("client %s: 200 with seal %q and a whole answer of %d bytes, the server's body has %d", id, a.seal, len(a.body), len(resetBody(id)))
		default:
			other++
			r.printf("client %s: status %d, whole %t, %v", id, a.status, a.whole, a.err)
		}
	}
	r.printf("round %d: %d whole answers, %d cut answers passed as whole, %d failures", round, whole, wrong, other)
	return wrong == 0
}

// awaitServed waits until the new server answers requests.
func awaitServed(f *fleet, front *node, server string) {
	for i := range 400 {
		a := send(front.at(portIngress), request{method: "GET", path: "/read/quick", id: fmt.Sprintf("probe-%d-%d", time.Now().UnixNano(), i), deadline: time.Second})
		if a.status == http.StatusOK && strings.HasPrefix(a.seal, "seal-"+server+"-") {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	setupFailed("the server is not used")
}

// resetServer is a running server process.
type resetServer struct {
	command *exec.Cmd
	log     string
	once    sync.Once
	seen    int
}

func startResetServer(f *fleet, n *node, id string) *resetServer {
	s := &resetServer{log: f.dir + "/" + id + ".runs"}
	s.command = exec.Command(os.Args[0], "reset-server", n.at(portServer), n.at(portAdmin), n.service, n.zone, id, s.log)
	s.command.Stderr = os.Stderr
	s.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.command.Start(); err != nil {
		setupFailed("server: %v", err)
	}
	f.record.printf("server %s starts", id)
	return s
}

func (s *resetServer) end() {
	s.once.Do(func() {
		_ = s.command.Process.Kill()
		_ = s.command.Wait()
	})
}

func (s *resetServer) runs() int {
	text, _ := os.ReadFile(s.log)
	return strings.Count(string(text), "\n")
}

// reset makes begun count from here.
func (s *resetServer) reset() { s.seen = s.runs() }

// begun returns how many runs have begun since reset.
func (s *resetServer) begun() int { return s.runs() - s.seen }

// runResetServer is the server process. Its answers have no length and end with their connection. When it dies, its
// connections are reset.
func runResetServer(args []string) {
	runs, err := os.OpenFile(args[5], os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		os.Exit(exitNotRun)
	}
	s := &server{address: args[0], admin: args[1], service: args[2], zone: args[3], id: args[4], slots: resetSlots}
	s.run = func(conn net.Conn, _ *bufio.Reader, q *http.Request, _ []byte) bool {
		id := q.Header.Get("X-Attempt-Id")
		if q.URL.Path != "/read/slow" {
			return s.answer(conn, id, "quick")
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		body := resetBody(id)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s-%s\r\nConnection: close\r\n\r\n%s", id, s.id, id, body[:len(body)/2])
		fmt.Fprintf(runs, "%s\n", id)
		time.Sleep(2 * time.Second)
		_, _ = conn.Write([]byte(body[len(body)/2:]))
		_ = conn.(*net.TCPConn).SetLinger(-1) // the end of a whole answer is no reset
		return false
	}
	if err := s.listen(); err != nil {
		os.Exit(exitNotRun)
	}
	select {}
}
