package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornpitch/buckthornpitch/pkg/admin"
)

// poll is the resolution of the times that are read from the operators' endpoint.
const poll = 10 * time.Millisecond

var statusClient = &http.Client{Timeout: 2 * time.Second}

func get[T any](node *Node, path string) (*T, error) {
	response, err := statusClient.Get("http://" + node.Admin() + path)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", node.Name, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("ask %s: status %d", node.Name, response.StatusCode)
	}
	value := new(T)
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		return nil, fmt.Errorf("ask %s: %w", node.Name, err)
	}
	return value, nil
}

// until asks for a daemon's status until it satisfies a condition and returns the time of that answer.
func until(ctx context.Context, node *Node, satisfied func(*admin.Status) bool) (time.Time, error) {
	for {
		if status, err := get[admin.Status](node, admin.PathStatus); err == nil && satisfied(status) {
			return time.Now(), nil
		}
		if !sleep(ctx, poll) {
			return time.Time{}, fmt.Errorf("wait for %s: %w", node.Name, ctx.Err())
		}
	}
}

// leader returns the index of the voter that leads.
func leader(ctx context.Context, voters []*Node) (int, error) {
	for {
		for i, node := range voters {
			if status, err := get[admin.Status](node, admin.PathStatus); err == nil && status.Role == admin.RoleLeader {
				return i, nil
			}
		}
		if !sleep(ctx, poll) {
			return 0, fmt.Errorf("wait for a leader: %w", ctx.Err())
		}
	}
}

// accepted waits for the verdict beside the rules file.
func accepted(ctx context.Context, path string, revision int) error {
	want := "accepted: revision " + strconv.Itoa(revision) + " "
	for {
		text, _ := os.ReadFile(path + ".verdict")
		if strings.HasPrefix(string(text), want) {
			return nil
		}
		if !sleep(ctx, poll/2) {
			return fmt.Errorf("revision %d: verdict %q: %w", revision, text, ctx.Err())
		}
	}
}

// controlBytes returns the sizes of the control frames that a daemon has sent and received.
func controlBytes(node *Node) (sent, received float64, err error) {
	dump, err := get[admin.Dump](node, admin.PathDump+"?"+admin.ParamSection+"=control")
	if err != nil {
		return 0, 0, err
	}
	for _, section := range dump.Sections {
		for _, row := range section.Rows {
			value, _ := strconv.ParseFloat(row[1], 64)
			switch row[0] {
			case "bytes-to-leader":
				sent = value
			case "bytes-from-leader":
				received = value
			}
		}
	}
	return sent, received, nil
}
