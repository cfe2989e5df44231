package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/buckthornpitch/buckthornpitch/internal/crowd"
)

const (
	// ordinaryTimeout bounds an ordinary request, and ordinaryInterval is the time between two of them.
	ordinaryTimeout  = 5 * time.Second
	ordinaryInterval = 100 * time.Millisecond

	// numberWord stands for the number of the request in the value of a header field.
	numberWord = "{n}"
)

var errFieldFlag = errors.New("a header field has the form NAME: VALUE")

type (
	crowdCommand struct {
		Kind       string        `arg:"positional,required" help:"kind of the clients, such as held-bodies, or mixed"`
		Address    string        `arg:"--address,required" placeholder:"IP:PORT" help:"listener that the crowd connects to"`
		Pid        int           `arg:"--pid" help:"process id of the daemon, for its peak memory and descriptors"`
		Clients    int           `arg:"--clients" default:"60" help:"clients of the crowd"`
		For        time.Duration `arg:"--for" default:"10s" help:"time for which the crowd stays"`
		Upload     string        `arg:"--upload" default:"/" help:"path of requests with a body"`
		Download   string        `arg:"--download" default:"/" help:"path of requests with a long response"`
		Host       string        `arg:"--host" default:"localhost" help:"host name in all requests"`
		Fields     []string      `arg:"--field,separate" placeholder:"NAME: VALUE" help:"header field of all requests; {n} in its value is a number"`
		BodySize   int           `arg:"--body-size" default:"12582912" help:"largest legal body in bytes"`
		HeaderSize int           `arg:"--header-size" default:"16384" help:"largest legal header in bytes"`
		Ordinary   string        `arg:"--ordinary" placeholder:"URL" help:"URL of the ordinary requests sent meanwhile; none by default"`
	}

	// ordinaryResult counts the ordinary requests by their outcome.
	ordinaryResult struct{ sent, served int }
)

// measureCrowd sends a crowd of one kind to a running daemon.
func (b *bench) measureCrowd(c *crowdCommand, report *Report) error {
	kind, err := crowd.Parse(c.Kind)
	if err != nil {
		return err
	}
	fields, err := c.headerFields()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.For)
	defer cancel()
	clients := &crowd.Crowd{Kind: kind, Clients: c.Clients, Target: c.target(fields)}
	var meanwhile sync.WaitGroup
	var usage crowd.Usage
	var usageErr error
	var ordinary ordinaryResult
	if c.Pid != 0 {
		meanwhile.Go(func() { usage, usageErr = crowd.WatchUsage(ctx, c.Pid) })
	}
	if c.Ordinary != "" {
		meanwhile.Go(func() { ordinary = sendOrdinary(ctx, c.Ordinary, c.Host, fields) })
	}
	clients.Run(ctx)
	meanwhile.Wait()
	if usageErr != nil {
		return usageErr
	}
	opened, failed := clients.Connections()
	table := report.addTable("Crowd of "+c.Kind, "clients", "connections", "not connected", "peak memory, KiB", "peak descriptors", "ordinary requests", "served", "load")
	table.addRow(c.Clients, opened, failed, usage.PeakMemory>>10, usage.Descriptors, ordinary.sent, ordinary.served, loadAverage())
	if c.Pid != 0 {
		table.addNote("peak memory is that of the process since its start")
	}
	return nil
}

// headerFields returns the names and values of the fields of all requests.
func (c *crowdCommand) headerFields() ([][2]string, error) {
	var fields [][2]string
	for _, field := range c.Fields {
		name, value, found := strings.Cut(field, ":")
		if !found || name == "" || strings.ContainsAny(field, "\r\n") {
			return nil, fmt.Errorf("%w: %q", errFieldFlag, field)
		}
		fields = append(fields, [2]string{name, strings.TrimSpace(value)})
	}
	return fields, nil
}

func (c *crowdCommand) target(fields [][2]string) crowd.Target {
	var rest strings.Builder
	_, _ = fmt.Fprintf(&rest, " HTTP/1.1\r\nHost: %s\r\n", c.Host)
	for _, field := range fields {
		_, _ = fmt.Fprintf(&rest, "%s: %s\r\n", field[0], strings.ReplaceAll(field[1], numberWord, "crowd"))
	}
	return crowd.Target{
		Address: c.Address, BodySize: c.BodySize, HeaderSize: c.HeaderSize,
		Upload: "POST " + c.Upload + rest.String(), Download: "GET " + c.Download + rest.String(),
	}
}

// sendOrdinary sends ordinary requests one after the other until ctx ends.
func sendOrdinary(ctx context.Context, url, host string, fields [][2]string) ordinaryResult {
	var result ordinaryResult
	client := &http.Client{Timeout: ordinaryTimeout}
	for ; ctx.Err() == nil; sleep(ctx, ordinaryInterval) {
		request, err := http.NewRequest(http.MethodGet, url, nil)
		if err != nil {
			return result
		}
		request.Host = host
		for _, field := range fields {
			request.Header.Set(field[0], strings.ReplaceAll(field[1], numberWord, strconv.Itoa(result.sent)))
		}
		result.sent++
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		if _, err := io.Copy(io.Discard, response.Body); err == nil && response.StatusCode == http.StatusOK {
			result.served++
		}
		_ = response.Body.Close()
	}
	return result
}
