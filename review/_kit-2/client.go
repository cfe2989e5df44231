package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for one request attempt.
type answer struct {
	status int // 0 without an answer
	seal   string
	id     string
	body   string
	whole  bool // the answer ended as its head says
	err    error
}

// request is one request attempt of a client.
type request struct {
	method, path, id, key string
	deadline              time.Duration
	body                  string
}

func (q request) text() string {
	key := ""
	if q.key != "" {
		key = "Api-Key: " + q.key + "\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		q.method, q.path, q.id, q.deadline.Milliseconds(), key, len(q.body), q.body)
}

// send sends a request on a new connection and reads its answer.
func send(address string, q request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), q.method)
}

func readAnswer(reader *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, seal: response.Header.Get("X-Server-Seal"), id: response.Header.Get("X-Attempt-Id"),
		body: string(body), whole: err == nil, err: err,
	}
}
