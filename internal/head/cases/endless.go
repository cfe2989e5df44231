package cases

import (
	"io"
	"strings"
)

// Endless is a response without an end: a start, and a part that is repeated until the connection is closed.
type Endless struct {
	Name  string
	Start string // a front end may need further fields behind its status line
	Part  string
}

// EndlessResponses are the responses without an end.
var EndlessResponses = []Endless{
	{Name: "status-line", Part: strings.Repeat("x", 1<<10)},
	{Name: "field", Start: "HTTP/1.1 200 OK\r\nX: ", Part: strings.Repeat("x", 1<<10)},
	{Name: "fields", Start: "HTTP/1.1 200 OK\r\n", Part: "X: " + strings.Repeat("x", 1<<10) + "\r\n"},
	{Name: "short-fields", Start: "HTTP/1.1 200 OK\r\n", Part: strings.Repeat("X:\r\n", 256)},
	{Name: "interim", Part: "HTTP/1.1 103 Early Hints\r\nX: " + strings.Repeat("x", 1<<10) + "\r\n\r\n"},
	{Name: "no-length", Start: "HTTP/1.1 200 OK\r\n\r\n", Part: strings.Repeat("x", 64<<10)},
	{Name: "chunks", Start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Part: "10000\r\n" + strings.Repeat("x", 64<<10) + "\r\n"},
	{Name: "chunk-size", Start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", Part: strings.Repeat("0", 1<<10)},
	{Name: "trailer", Start: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", Part: "X: " + strings.Repeat("x", 1<<10) + "\r\n"},
	{Name: "after-answer", Start: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", Part: strings.Repeat("x", 64<<10)},
	{Name: "other-answers", Part: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
}

// Write writes the response, with further fields behind its status line, until a write fails.
func (e *Endless) Write(w io.Writer, fields string) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	text := e.Start
	if rest, found := strings.CutPrefix(text, statusLine); found {
		text = statusLine + fields + rest
	}
	for {
		if _, err := io.WriteString(w, text); err != nil {
			return
		}
		text = e.Part
	}
}
