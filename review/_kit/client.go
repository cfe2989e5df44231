package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	apiKey = "6wsjnbanfqasnmgkcuyj"
	tenant = "pulo780"
)

type (
	// request is one client attempt.
	request struct {
		id, method, host, path string
		deadline               time.Duration
		closing                bool // with Connection: close
	}

	// answer is the response to a request; status 0 means that none arrived in full.
	answer struct {
		status int
		seal   string
		body   []byte
		err    error
	}
)

// text returns the bytes of a request.
func (q request) text() string {
	extra := ""
	if q.closing {
		extra = "Connection: close\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n%s\r\n",
		q.method, q.path, q.host, q.id, q.deadline.Milliseconds(), apiKey, extra)
}

// send sends one request on a connection of its own and reads the answer.
func send(address string, q request) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(conn, q.text()); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), q)
}

// readAnswer reads the answer to q.
func readAnswer(reader *bufio.Reader, q request) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, seal: response.Header.Get("X-Server-Seal"), body: body}
}

// sealOf returns the signature of the stand-in server for an answer.
func sealOf(id string, body []byte) string {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(id))
	_, _ = sum.Write(body)
	return fmt.Sprintf("%016x", sum.Sum64())
}

// configuration returns a configuration with one host and one route for each service.
func configuration(version int, timeout float64, safe bool, services ...string) string {
	kind := "unsafe"
	if safe {
		kind = "safe"
	}
	hosts, clusters := "", ""
	for i, service := range services {
		if i > 0 {
			hosts, clusters = hosts+",", clusters+","
		}
		hosts += fmt.Sprintf(`{"host":"%s.example","route_rules":[{"name":"r-%s","route_type":%q,"target_latency_s":1.5,"priority":0,"public":false,"match":{"path_prefix":"/shelf/"},"action":{"service":%q,"timeout_s":%g,"max_attempts":2}}]}`,
			service, service, kind, service, timeout)
		clusters += fmt.Sprintf(`{"name":%q,"health_path":"/health","max_connections":748,"protocol":"h1","tls":false}`, service)
	}
	return fmt.Sprintf(`{"version":%d,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15},`+
		`"tenants":[{"name":%q,"api_keys":[%q],"priority":1,"rate_per_s":0,"burst":0}],"base_version":0,"listeners":[%s],"clusters":[%s]}`,
		version, tenant, apiKey, hosts, clusters)
}
